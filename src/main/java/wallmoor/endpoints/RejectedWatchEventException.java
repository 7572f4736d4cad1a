package wallmoor.endpoints;

/**
 * A watch event that the registry rejects: its source is unknown, names more endpoints than it may, or one of them
 * twice. Nothing of the event was applied.
 */
public final class RejectedWatchEventException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RejectedWatchEventException(String message) {
        super(message);
    }
}
