package wallmoor.decision;

/** What a second execution of a part does to its store (idempotence, RFC 9110 section 9.2.2). */
public enum Idempotency {
    /** A second execution is harmless. */
    IDEMPOTENT,
    /** The store recognises a second execution by its idempotency key, but only within the deduplication window. */
    WITH_KEY,
    /** A second execution is never harmless: a part that may have run is not sent again. */
    NOT_IDEMPOTENT
}
