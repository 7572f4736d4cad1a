package wallmoor.edge.coap;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;

/** Tests the limits of CoAP peers: no peer exceeds its rate, whatever it sends, and none pays for another. */
public class PeerRateLimiterTest {
    private static final int BURST = 8;
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static InetSocketAddress peer(int port) {
        return InetSocketAddress.createUnresolved("peer", port);
    }

    @Property
    void takesADatagramIfAndOnlyIfNoIntervalExceedsBurstAndRate(
            @ForAll @Size(min = 1, max = 200) List<@LongRange(max = 30_000_000) Long> gapsNanos) {
        var limiter = new PeerRateLimiter(INTERVAL_NANOS, BURST, 4);
        var takenNanos = new ArrayList<Long>();
        long now = 0;
        for (long gap : gapsNanos) {
            now += gap;
            boolean isAllowed = true;
            for (int i = 0; i < takenNanos.size(); i++) {
                long allowed = BURST + (now - takenNanos.get(i)) / INTERVAL_NANOS;
                isAllowed &= takenNanos.size() - i + 1 <= allowed;
            }
            assertEquals("at " + now, isAllowed, limiter.tryTake(peer(1), now));
            if (isAllowed) {
                takenNanos.add(now);
            }
        }
    }

    @Test
    public void refillsAfterAPauseAndLeavesOtherPeersAlone() {
        var limiter = new PeerRateLimiter(INTERVAL_NANOS, BURST, 4);
        for (int i = 0; i < 3 * BURST; i++) {
            assertEquals("datagram " + i, i < BURST, limiter.tryTake(peer(1), 0));
        }
        assertTrue(limiter.tryTake(peer(2), 0));
        assertTrue(limiter.tryTake(peer(1), 2 * INTERVAL_NANOS));
    }

    @Test
    public void forgetsThePeerThatWasSilentForTheLongestTime() {
        var limiter = new PeerRateLimiter(INTERVAL_NANOS, 1, 2);
        assertTrue(limiter.tryTake(peer(1), 0));
        assertTrue(limiter.tryTake(peer(2), 0));
        assertEquals(false, limiter.tryTake(peer(1), 0));
        assertTrue(limiter.tryTake(peer(3), 0));
        assertEquals("remembered", false, limiter.tryTake(peer(1), 0));
        assertTrue("forgotten", limiter.tryTake(peer(2), 0));
    }
}
