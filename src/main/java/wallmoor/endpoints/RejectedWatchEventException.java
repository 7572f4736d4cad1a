package wallmoor.endpoints;

/**
 * Thrown when the registry rejects a watch event: its source is unknown, or names too many endpoints or one of them
 * twice. No part of the event was applied.
 */
public final class RejectedWatchEventException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RejectedWatchEventException(String message) {
        super(message);
    }
}
