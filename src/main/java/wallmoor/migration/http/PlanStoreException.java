package wallmoor.migration.http;

/** Thrown when the plan cannot be read from or written to its store. The message says what an operator can do. */
public final class PlanStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    PlanStoreException(String message) {
        super(message);
    }

    PlanStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
