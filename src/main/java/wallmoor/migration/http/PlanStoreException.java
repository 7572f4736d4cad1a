package wallmoor.migration.http;

/** The plan cannot be read or written where it is kept. The message says what an operator can do. */
public final class PlanStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    PlanStoreException(String message) {
        super(message);
    }

    PlanStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
