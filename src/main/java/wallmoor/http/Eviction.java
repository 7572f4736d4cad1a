package wallmoor.http;

import wallmoor.http.Connection.ConnectionState;

/**
 * Decides which connection is evicted for one that waits, where a server holds as many as it may. Knows no socket and
 * no clock: it is told how long the oldest connection of each state has been in it.
 */
final class Eviction {
    /** Milliseconds that the oldest of each state has been in it; -1 where there is none. */
    record OldestMillis(long closing, long idleUnused, long fresh, long idle, long firstRequest) {}

    private Eviction() {}

    /**
     * The state whose oldest connection is evicted, or null if none may be for now. What costs least goes first: one
     * that is closing costs nothing; one that no work has come over has hardly any to come; an idle one costs its
     * client a handshake with its next request, if it ever has one; a new, silent one comes back the moment it is
     * closed, and costs that each time; one that was idle for a moment may have its next request on the way, which
     * crosses the close and is asked again; half a request is an answer given up.
     */
    static ConnectionState choose(OldestMillis oldest, ConnectionTimeouts timeouts) {
        if (oldest.closing >= Connection.LINGER_MILLIS) {
            return ConnectionState.CLOSING;
        }
        if (oldest.idleUnused >= timeouts.evictJustIdle()) {
            return ConnectionState.IDLE_UNUSED;
        }
        if (oldest.idle >= timeouts.evictIdle()) {
            return ConnectionState.IDLE;
        }
        if (oldest.fresh >= timeouts.evictSilent()) {
            return ConnectionState.NEW;
        }
        if (oldest.idle >= timeouts.evictJustIdle()) {
            return ConnectionState.IDLE;
        }
        return oldest.firstRequest >= timeouts.evictHalfRequest() ? ConnectionState.FIRST_REQUEST : null;
    }
}
