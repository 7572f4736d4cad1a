package wallmoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests which connection is evicted at the maximum number of connections, for ages around each timeout. */
public class EvictionTest {
    private static final ConnectionTimeouts TIMEOUTS = ConnectionTimeouts.SHORT;
    private static final long[] AGES = {-1, 0, 49, 50, 249, 250, 399, 400, 499, 500, 699, 700, 5_000};

    @Test
    public void evictsCheapestConnectionAndNoneBeforeItsTimeout() {
        for (long closing : AGES) {
            for (long silent : AGES) {
                for (long idle : AGES) {
                    for (long firstRequest : AGES) {
                        for (long laterRequest : AGES) {
                            assertVictim(closing, silent, idle, firstRequest, laterRequest);
                        }
                    }
                }
            }
        }
    }

    private static void assertVictim(long closing, long silent, long idle, long firstRequest, long laterRequest) {
        assertEquals(closing >= 500 ? ConnectionState.CLOSING : ConnectionState.IDLE_UNUSED,
                Eviction.choose(new Eviction.OldestMillis(closing, TIMEOUTS.evictRecentlyIdle(), silent, idle,
                        firstRequest, laterRequest), TIMEOUTS));
        var oldest = new Eviction.OldestMillis(closing, TIMEOUTS.evictRecentlyIdle() - 1, silent, idle, firstRequest,
                laterRequest);
        ConnectionState victim = Eviction.choose(oldest, TIMEOUTS);
        boolean isVictimExpected = closing >= 500 || silent >= TIMEOUTS.evictSilent()
                || idle >= TIMEOUTS.evictRecentlyIdle()
                || firstRequest >= TIMEOUTS.evictIncompleteRequest()
                || laterRequest >= TIMEOUTS.evictIncompleteRequest();
        assertEquals(oldest.toString(), isVictimExpected, victim != null);
        if (victim == ConnectionState.NEW) {
            assertTrue(oldest.toString(),
                    closing < 500 && idle < TIMEOUTS.evictIdle() && silent >= TIMEOUTS.evictSilent());
        } else if (victim == ConnectionState.IDLE) {
            assertTrue(oldest.toString(),
                    closing < 500 && (idle >= TIMEOUTS.evictIdle() || silent < TIMEOUTS.evictSilent()));
        } else if (victim != null && victim.isIncomplete()) {
            assertTrue(oldest.toString(), closing < 500 && silent < TIMEOUTS.evictSilent()
                    && idle < TIMEOUTS.evictRecentlyIdle());
            assertEquals("the older of the two", firstRequest >= laterRequest ? ConnectionState.FIRST_REQUEST
                    : ConnectionState.LATER_REQUEST, victim);
        }
    }

    @Test
    public void evictsNoNewOrActiveConnection() {
        assertNull(Eviction.choose(new Eviction.OldestMillis(-1, -1, 0, -1, -1, -1), TIMEOUTS));
        assertNull(Eviction.choose(new Eviction.OldestMillis(499, 49, 399, 49, 699, 699), TIMEOUTS));
        assertEquals(ConnectionState.IDLE,
                Eviction.choose(new Eviction.OldestMillis(0, -1, 2_000, 250, 2_000, 2_000), TIMEOUTS));
        assertEquals(ConnectionState.NEW,
                Eviction.choose(new Eviction.OldestMillis(0, -1, 400, 249, 2_000, 2_000), TIMEOUTS));
    }
}
