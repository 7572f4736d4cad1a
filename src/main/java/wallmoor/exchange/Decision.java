package wallmoor.exchange;

/** What is to be done with a device's asking. */
public sealed interface Decision {

    /** Nobody asked this before: it is to be run. Its asker counts as waiting. */
    record Run(Exchange exchange) implements Decision {}

    /** It is out already: its asker waits along. */
    record Attach(Exchange exchange) implements Decision {}

    /** It has ended: this is its outcome, as ever. */
    record Replay(Outcome outcome) implements Decision {}

    /** A piece was taken, and more is wanted from {@code offset} on. */
    record More(long offset) implements Decision {}

    /** All pieces are there. */
    record Uploaded(byte[] body) implements Decision {}

    /** The id stands for another query. Nothing is run. */
    record Conflict() implements Decision {}

    /** Not now. Nothing is run; ask again, under the same id, after so many microseconds. */
    record Refuse(Why why, long comeBack) implements Decision {}

    /** The id of a query that may not repeat is not one whose age can be told, or is made too far ahead. */
    record BadId(String what) implements Decision {}

    /**
     * The id is older than what is remembered: whether it ran is not known, and it is never run again.
     */
    record Forgotten() implements Decision {}

    /** Nothing is known of this id. */
    record Unknown() implements Decision {}

    /** Why not now. */
    enum Why {
        /** This device asks too often. */
        HELD_OFF,
        /** This device has too many queries open, or too much kept. */
        DEVICE_FULL,
        /** All devices together have. */
        FULL
    }
}
