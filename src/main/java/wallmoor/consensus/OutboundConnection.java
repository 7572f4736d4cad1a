package wallmoor.consensus;

/** The connection to a voting member that is dialled, and the backoff between attempts. The transport's thread. */
final class OutboundConnection {
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private FramedConnection connection;
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long notBefore;

    /** Null where there is none. */
    FramedConnection connection() {
        return connection;
    }

    /** Whether an attempt may begin now; if so the next one waits longer. */
    boolean tryBegin(long nowMillis) {
        if (nowMillis < notBefore) {
            return false;
        }
        notBefore = nowMillis + backoffMillis;
        backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
        return true;
    }

    void opened(FramedConnection opened) {
        connection = opened;
    }

    /** The other end's handshake came. */
    void established() {
        backoffMillis = MIN_BACKOFF_MILLIS;
    }

    /** Whether it was this one that has ended. */
    boolean closed(FramedConnection ended) {
        boolean current = connection == ended;
        if (current) {
            connection = null;
        }
        return current;
    }
}
