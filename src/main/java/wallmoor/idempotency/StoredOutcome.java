package wallmoor.idempotency;

/**
 * How a query ended, once and for all. The bytes are what every asker gets, to the byte.
 *
 * @param retryAfter microseconds after which to ask again under a new id, or 0
 */
public record StoredOutcome(OutcomeKind kind, long retryAfter, byte[] bytes) {
    /** What a device may conclude. */
    public enum OutcomeKind {
        /** Answered from all the parts that a whole answer needs. */
        WHOLE,
        /** Answered, and the answer says what it lacks. */
        PARTIAL,
        /** Turned away; it never ran. */
        REFUSED,
        /** Given up; it never ran. */
        FAILED_NEVER_RAN,
        /** Given up; it may have run. */
        FAILED_MAY_HAVE_RUN
    }
}
