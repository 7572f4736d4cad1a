package wallmoor.http;

/** A message that is refused, with the status that says why. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** A fault of the peer's. */
    public HttpProtocolException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status to answer with. */
    public int status() {
        return status;
    }
}
