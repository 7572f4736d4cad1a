package wallmoor.edge.coap;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Decides whether a datagram of a peer is processed, by the generic cell rate algorithm, which allows the same as a
 * token bucket for each address. A peer that is not remembered may send a full burst; the peer that has sent nothing
 * for the longest time is forgotten first. Not thread-safe.
 */
final class PeerRateLimiter {
    private final long intervalNanos;
    private final long burstNanos;
    /**
     * The time at which each peer's next datagram would come, had it sent all at the rate; nanoseconds of the clock of
     * {@link #tryTake}.
     */
    private final Map<InetSocketAddress, Long> expectedNanos;

    /**
     * Creates a limiter that remembers no peer.
     *
     * @param intervalNanos the time from one datagram to the next at the maximum rate
     * @param burst         the number of datagrams that may come at once after a pause
     * @param maxPeers      the number of peers remembered
     */
    PeerRateLimiter(long intervalNanos, int burst, int maxPeers) {
        this.intervalNanos = intervalNanos;
        burstNanos = (burst - 1) * intervalNanos;
        expectedNanos = new RecentlyUsedMap<>(maxPeers);
    }

    /**
     * Counts a datagram of the peer if the peer is within its rate and burst.
     *
     * @param nowNanos nanoseconds of a monotonic clock
     * @return whether it is: the datagram is to be processed
     */
    boolean tryTake(InetSocketAddress peer, long nowNanos) {
        Long expected = expectedNanos.get(peer);
        long aheadNanos = expected == null ? 0 : Math.max(0, expected - nowNanos);
        if (aheadNanos > burstNanos) {
            return false;
        }
        expectedNanos.put(peer, nowNanos + aheadNanos + intervalNanos);
        return true;
    }
}
