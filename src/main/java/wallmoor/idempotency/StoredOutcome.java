package wallmoor.idempotency;

/**
 * The outcome of a request, stored for replay. Every device that asks gets the same bytes.
 *
 * @param retryAfter microseconds after which to retry under a new key, or 0
 */
public record StoredOutcome(OutcomeKind kind, long retryAfter, byte[] bytes) {
    /** What a device may conclude. */
    public enum OutcomeKind {
        /** Answered from all the parts that a complete answer needs. */
        COMPLETE,
        /** Answered, and the answer says what it lacks. */
        PARTIAL,
        /** Rejected; it was never executed. */
        REJECTED,
        /** Failed; it was never executed. */
        FAILED_NEVER_RAN,
        /** Failed; it may have been executed. */
        FAILED_MAY_HAVE_RUN
    }
}
