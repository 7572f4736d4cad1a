package wallmoor.migration;

/** Thrown when a stored or received version of the plan cannot be decoded. */
public final class UnreadablePlanException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadablePlanException(String message) {
        super(message);
    }

    UnreadablePlanException(String message, Throwable cause) {
        super(message, cause);
    }
}
