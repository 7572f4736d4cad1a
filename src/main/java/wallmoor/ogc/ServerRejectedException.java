package wallmoor.ogc;

/** The feature server rejected an attempt's first request (429 or 503): nothing of the part ran. */
final class ServerRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    ServerRejectedException(int status) {
        super("rejected with status " + status);
    }
}
