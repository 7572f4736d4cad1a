package wallmoor.rules;

/** Thrown when a document's body does not match its schema. The message names the field and the error. */
public final class InvalidRuleException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public InvalidRuleException(String message) {
        super(message);
    }
}
