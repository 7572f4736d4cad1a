package wallmoor.consensus;

/** The connection dialled to a voting member, and the backoff between attempts. Runs on the transport thread. */
final class OutboundConnection {
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private FramedConnection connection;
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long nextAttemptMillis;

    /** Returns the connection, or null if there is none. */
    FramedConnection connection() {
        return connection;
    }

    /** Returns whether an attempt may begin now; if so, increases the backoff before the next one. */
    boolean tryBegin(long nowMillis) {
        if (nowMillis < nextAttemptMillis) {
            return false;
        }
        nextAttemptMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
        return true;
    }

    void opened(FramedConnection opened) {
        connection = opened;
    }

    /** Resets the backoff after the peer's handshake was accepted. */
    void established() {
        backoffMillis = MIN_BACKOFF_MILLIS;
    }

    /** Clears the connection if it is the one that ended, and returns whether it was. */
    boolean closed(FramedConnection ended) {
        boolean current = connection == ended;
        if (current) {
            connection = null;
        }
        return current;
    }
}
