package wallmoor.maintenance;

/**
 * Thrown when an operation on a maintenance request is rejected. The message says why, and what staff can do instead.
 */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    RequestRejectedException(String message) {
        super(message);
    }
}
