package wallmoor.rules;

/** Stored or received bytes are not what was written. The message says where, and what an operator can do. */
public final class CorruptDataException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates one that says what is wrong at which byte offset. */
    public CorruptDataException(String what, long offset) {
        super(what + " at byte " + offset
                + ": put this file aside and let this member fetch all from the other voters");
    }
}
