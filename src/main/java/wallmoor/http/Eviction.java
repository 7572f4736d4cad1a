package wallmoor.http;

/**
 * Decides which connection is evicted for a queued one when a server has its maximum number of connections. It has no
 * access to sockets or clocks: its input is how long the oldest connection in each state has been in that state.
 */
final class Eviction {
    /** The time in milliseconds that the oldest connection in each state has been in it; -1 if there is none. */
    record OldestMillis(long closing, long idleUnused, long fresh, long idle, long firstRequest,
            long laterRequest) {
        /** Returns the time for which the oldest incomplete request has been received. */
        private long incompleteRequest() {
            return Math.max(firstRequest, laterRequest);
        }
    }

    private Eviction() {}

    /**
     * Returns the state whose oldest connection is to be evicted, or null if no connection may be evicted now. The
     * order is by increasing cost. Evicting a closing connection costs nothing. A connection that has carried no client
     * work is unlikely to carry any. The client of an idle connection needs another handshake for its next request, if
     * there is one. The client of a new, silent connection reconnects at once, each time. A recently idle connection
     * may have its next request in transit, which is then lost and has to be sent again. An incomplete request is lost
     * without an answer.
     */
    static ConnectionState choose(OldestMillis oldest, ConnectionTimeouts timeouts) {
        if (oldest.closing >= Connection.LINGER_MILLIS) {
            return ConnectionState.CLOSING;
        }
        if (oldest.idleUnused >= timeouts.evictRecentlyIdle()) {
            return ConnectionState.IDLE_UNUSED;
        }
        if (oldest.idle >= timeouts.evictIdle()) {
            return ConnectionState.IDLE;
        }
        if (oldest.fresh >= timeouts.evictSilent()) {
            return ConnectionState.NEW;
        }
        if (oldest.idle >= timeouts.evictRecentlyIdle()) {
            return ConnectionState.IDLE;
        }
        if (oldest.incompleteRequest() < timeouts.evictIncompleteRequest()) {
            return null;
        }
        return oldest.firstRequest >= oldest.laterRequest ? ConnectionState.FIRST_REQUEST
                : ConnectionState.LATER_REQUEST;
    }
}
