package wallmoor.idempotency;

/**
 * The outcome of a request, stored for replay. Every device that requests it gets the same bytes.
 *
 * @param retryAfter the time after which to retry under a new key (microseconds), or 0
 * @param bytes      the encoded outcome
 */
public record StoredOutcome(OutcomeKind kind, long retryAfter, byte[] bytes) {
    /** The kind of an outcome, as reported to devices. */
    public enum OutcomeKind {
        /** The request was answered from all parts that a complete answer requires. */
        COMPLETE,
        /** The request was answered partially; the answer states what is missing. */
        PARTIAL,
        /** The request was rejected and never executed. */
        REJECTED,
        /** The request failed and was never executed. */
        FAILED_NEVER_RAN,
        /** The request failed and may have been executed. */
        FAILED_MAY_HAVE_RUN
    }
}
