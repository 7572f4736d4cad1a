package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Guards against a CoAP peer that takes heap and processor time from the clients of the platform: it sends at full
 * speed, and their queries get no answer in time.
 */
public class CoapFloodTest extends EdgeFixture {
    private static final long FLOOD_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** Far more than the program processes of one peer in this time. */
    private static final int MIN_REQUESTS = 20_000;
    private static final int DEADLINE_MILLIS = 1_900;

    @Test
    public void answersPlatformClientsWhileOnePeerSendsCoapRequestsAtFullSpeed() throws Exception {
        start(id -> "ok");
        long end = System.nanoTime() + FLOOD_NANOS;
        try (var flood = new CoapFlood(coapPort)) {
            for (int i = 0; System.nanoTime() < end; i++) {
                long sent = System.nanoTime();
                assertEquals(200, Client.post(program.port, "q" + i, "all", DEADLINE_MILLIS, 0).status);
                long lateMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent) - DEADLINE_MILLIS;
                assertEquals("milliseconds after the deadline", 0, Math.max(0, lateMillis));
            }
            assertTrue("requests sent: " + flood.sentRequests(), flood.sentRequests() > MIN_REQUESTS);
        }
    }
}
