package wallmoor.maintenance;

/** Thrown when a version of the document {@code maintenance} cannot be decoded. */
public final class UnreadableMaintenanceException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    UnreadableMaintenanceException(String message) {
        super(message);
    }

    UnreadableMaintenanceException(String message, Throwable cause) {
        super(message, cause);
    }
}
