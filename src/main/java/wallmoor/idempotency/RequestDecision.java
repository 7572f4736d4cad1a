package wallmoor.idempotency;

/** What is to be done with a device's asking. */
public sealed interface RequestDecision {

    /** Nobody asked this before: it is to be run. Its asker counts as waiting. */
    record Run(RequestRecord exchange) implements RequestDecision {}

    /** It is out already: its asker waits along. */
    record Attach(RequestRecord exchange) implements RequestDecision {}

    /** It has ended: this is its outcome, as ever. */
    record Replay(StoredOutcome outcome) implements RequestDecision {}

    /** A piece was taken, and more is wanted from {@code offset} on. */
    record More(long offset) implements RequestDecision {}

    /** All pieces are there. */
    record Uploaded(byte[] body) implements RequestDecision {}

    /** The id stands for another query. Nothing is run. */
    record Conflict() implements RequestDecision {}

    /** Not now. Nothing is run; ask again, under the same id, after so many microseconds. */
    record Refuse(RejectionReason why, long retryAfter) implements RequestDecision {}

    /** The id of a query that may not repeat is not one whose age can be told, or is made too far ahead. */
    record BadId(String what) implements RequestDecision {}

    /**
     * The id is older than what is remembered: whether it ran is not known, and it is never run again.
     */
    record Forgotten() implements RequestDecision {}

    /** Nothing is known of this id. */
    record Unknown() implements RequestDecision {}

    /** Why not now. */
    enum RejectionReason {
        /** This device asks too often. */
        HELD_OFF,
        /** This device has too many queries open, or too much kept. */
        DEVICE_FULL,
        /** All devices together have. */
        FULL
    }
}
