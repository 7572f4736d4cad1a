package wallmoor.rules;

/** A rule's body does not match this program's schema. The message says which field and why. */
public final class InvalidRuleException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates one that says what is wrong, for the operator. */
    public InvalidRuleException(String message) {
        super(message);
    }
}
