package wallmoor.rules;

/** A body that this program cannot read. The message says which field and why. */
public final class InvalidRuleException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong, for the operator. */
    public InvalidRuleException(String message) {
        super(message);
    }
}
