package wallmoor.migration.http;

/** The plan's directory can't be used. The message says what an operator can do. */
public final class PlanStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    PlanStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
