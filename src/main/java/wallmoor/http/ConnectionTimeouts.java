package wallmoor.http;

/**
 * How long a server bears connections, in milliseconds.
 *
 * @param firstRequest     a connection's first request must be whole within this time of connecting
 * @param request          a later one within this time of its first byte
 * @param silent           a connection that has sent nothing for so long is ended
 * @param idle             one between requests, where more than an eighth of the connections there may be are open
 * @param idlePressed      ... and where more than a quarter are
 * @param idleAtEase       ... and where there are fewer
 * @param evictSilent      at the cap a silent one is evicted after so long
 * @param evictHalfRequest ... and one whose first request is not whole
 * @param evictIdle        ... and one between requests, before a silent one
 * @param evictJustIdle    ... and after a silent one
 */
public record ConnectionTimeouts(long firstRequest, int request, long silent, long idle, long idlePressed,
        long idleAtEase,
        long evictSilent, long evictHalfRequest, long evictIdle, long evictJustIdle) {
    /**
     * With clients on the platform's network. Rude clients hold back the rest of a request for ever, and some that
     * asked once keep their connections for good and have none left to ask with: so an idle one is ended the sooner the
     * more are open. A silent one is evicted after an idle one, as its client connects again at once, and the idle
     * one's only with its next request; one that was idle for some round trips hardly has a request on its way.
     */
    public static final ConnectionTimeouts SHORT = new ConnectionTimeouts(2_700, 5_000, 2_200, 2_050, 700, 15_000, 400,
            700,
            250, 50);
    /** With devices on poor links, where a round trip may take seconds and a request come a packet at a time. */
    public static final ConnectionTimeouts LONG = new ConnectionTimeouts(30_000, 30_000, 30_000, 60_000, 20_000,
            120_000,
            5_000, 10_000, 10_000, 2_000);
    /**
     * With operators on the gatherer's own network, a call a connection: who says nothing, or half a call, may take 5 s
     * over it, but is evicted after a moment, so that a crowd of such costs another caller a fraction of a second.
     */
    public static final ConnectionTimeouts OPERATORS = new ConnectionTimeouts(5_000, 5_000, 5_000, 2_050, 700, 5_000,
            50,
            100, 250, 50);
}
