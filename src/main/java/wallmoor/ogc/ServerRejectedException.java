package wallmoor.ogc;

/** Thrown when the feature server rejects an attempt's first request (429 or 503); no work of the part was done. */
final class ServerRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    ServerRejectedException(int status) {
        super("feature server rejected the request with status " + status);
    }
}
