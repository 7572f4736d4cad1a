package wallmoor.rules;

/** Kept bytes are not what was written. The message says where, and what an operator can do. */
public final class CorruptDataException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong at which byte. */
    public CorruptDataException(String what, long at) {
        super(what + " at byte " + at + ": put this file aside and let this member fetch all from the other voters");
    }
}
