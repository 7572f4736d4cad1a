package wallmoor.summaries;

/** A condition, box or time given as text, in a query or a file of rows, is not valid; the message says why. */
public final class InvalidConditionException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidConditionException(String message) {
        super(message);
    }

    InvalidConditionException(String message, Throwable cause) {
        super(message, cause);
    }
}
