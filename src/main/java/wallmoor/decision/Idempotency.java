package wallmoor.decision;

/** The effect of executing a part twice on its store (idempotence, RFC 9110 section 9.2.2). */
public enum Idempotency {
    /** A second execution has no further effect. */
    IDEMPOTENT,
    /** The store recognises a second execution by its idempotency key, but only within the deduplication window. */
    WITH_KEY,
    /** A second execution takes effect again, so a part that may have been executed is not sent again. */
    NOT_IDEMPOTENT
}
