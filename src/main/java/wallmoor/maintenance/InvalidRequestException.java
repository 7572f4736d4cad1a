package wallmoor.maintenance;

/** Thrown when a maintenance request lacks an id or a machine, or has no positive work time. */
public final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
