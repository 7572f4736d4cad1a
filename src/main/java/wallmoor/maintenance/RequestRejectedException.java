package wallmoor.maintenance;

/** What staff asked can't be taken up. The message says what to do. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    RequestRejectedException(String message) {
        super(message);
    }
}
