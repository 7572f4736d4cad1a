package wallmoor.http;

/** The responses to requests that are ended before they are handled; the connection is closed after each. */
final class ConnectionResponses {
    /** To a request that was not started, so its client may retry it. */
    static final byte[] BUSY = response(503, "Retry-After: 1\r\n", "too much at work");
    /** To a request that did not become complete in time. */
    static final byte[] TIMEOUT = response(408, "", "half a message, then silence");
    /** To a request that has grown beyond the largest size. */
    static final byte[] TOO_LARGE = response(413, "", "request too large");

    private ConnectionResponses() {}

    private static byte[] response(int status, String headers, String text) {
        return HttpWriter.response(status, headers, HttpExchange.plainText(text), true, false);
    }
}
