package wallmoor.rules;

/**
 * Thrown when stored or received bytes can't be decoded. The message has the error, its byte offset, and the remedy for
 * an operator.
 */
public final class CorruptDataException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param error  description of the error
     * @param offset of the error in the decoded bytes
     */
    public CorruptDataException(String error, long offset) {
        super(error + " at byte " + offset
                + ": move this file away; this member then fetches its data from the other voters");
    }
}
