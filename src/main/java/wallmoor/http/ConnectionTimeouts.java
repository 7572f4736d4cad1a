package wallmoor.http;

/**
 * The timeouts of a server's connections, in milliseconds.
 *
 * @param firstRequest            the time from connecting until the first request must be complete
 * @param request                 the time from the first byte of a later request until it must be complete
 * @param silent                  the time after which a connection that never sent anything is closed
 * @param idle                    the time after which a connection between requests is closed, if more than an eighth
 *                                and at most a quarter of the maximum number of connections are open
 * @param idleHighLoad            the same if more than a quarter are open
 * @param idleLowLoad             the same if at most an eighth are open
 * @param evictSilent             the minimum age at which a connection that never sent anything may be evicted, when
 *                                the maximum number of connections is reached
 * @param evictIncompleteRequest  the same for a connection whose request, the first or a later one, is
 *                                incomplete
 * @param evictIdle               the same for a connection between requests, in preference to a silent one
 * @param evictRecentlyIdle       the same for a connection between requests, if no silent one may be evicted
 */
public record ConnectionTimeouts(long firstRequest, int request, long silent, long idle, long idleHighLoad,
        long idleLowLoad,
        long evictSilent, long evictIncompleteRequest, long evictIdle, long evictRecentlyIdle) {
    /**
     * For clients on the platform's network. Misbehaving clients never send the rest of a request, and some keep a
     * connection open for ever after one request until they have no connection left for another one. The idle timeout
     * therefore shrinks as more connections are open. A silent connection is evicted after an idle one, as its client
     * reconnects at once, while the client of an idle one reconnects only for its next request. A connection that was
     * idle for a few round trips is unlikely to have a request in transit.
     */
    public static final ConnectionTimeouts SHORT = new ConnectionTimeouts(2_700, 5_000, 2_200, 2_050, 700, 15_000, 400,
            700,
            250, 50);
    /** For devices on poor links, where a round trip may take seconds and a request may arrive packet by packet. */
    public static final ConnectionTimeouts LONG = new ConnectionTimeouts(30_000, 30_000, 30_000, 60_000, 20_000,
            120_000,
            5_000, 10_000, 10_000, 2_000);
    /**
     * For operators on the gatherer's own network, who make one call per connection. A connection with no request or an
     * incomplete one may stay for 5 s, but may be evicted after 50 ms or 100 ms, so that many of them delay another
     * caller by a fraction of a second only.
     */
    public static final ConnectionTimeouts OPERATORS = new ConnectionTimeouts(5_000, 5_000, 5_000, 2_050, 700, 5_000,
            50,
            100, 250, 50);
}
