package wallmoor.ogc;

/** The feature server rejected an attempt's first request (429 or 503): nothing of the part ran. */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    RequestRejectedException(int status) {
        super("rejected with status " + status);
    }
}
