package wallmoor.http;

/** Thrown for a message that violates the protocol or a limit, with the status to answer with. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Creates an exception whose message is the body of the answer. */
    public HttpProtocolException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Returns the status to answer with. */
    public int status() {
        return status;
    }
}
