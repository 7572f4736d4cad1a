package wallmoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import wallmoor.http.Connection.ConnectionState;

/** Who is evicted at the cap, over all ages round each bound. */
public class EvictionTest {
    private static final ConnectionTimeouts TIMEOUTS = ConnectionTimeouts.SHORT;
    private static final long[] AGES = {-1, 0, 49, 50, 249, 250, 399, 400, 499, 500, 699, 700, 5_000};

    @Test
    public void whatCostsLeastGoesFirstAndNothingGoesBeforeItsTime() {
        for (long leaving : AGES) {
            for (long silent : AGES) {
                for (long idle : AGES) {
                    for (long first : AGES) {
                        assertEquals(leaving >= 500 ? ConnectionState.CLOSING : ConnectionState.IDLE_UNUSED,
                                Eviction.choose(new Eviction.OldestMillis(leaving, TIMEOUTS.evictJustIdle(), silent,
                                        idle, first), TIMEOUTS));
                        var now = new Eviction.OldestMillis(leaving, TIMEOUTS.evictJustIdle() - 1, silent, idle, first);
                        ConnectionState victim = Eviction.choose(now, TIMEOUTS);
                        boolean any = leaving >= 500 || silent >= TIMEOUTS.evictSilent()
                                || idle >= TIMEOUTS.evictJustIdle() || first >= TIMEOUTS.evictHalfRequest();
                        assertEquals(now.toString(), any, victim != null);
                        if (victim == ConnectionState.NEW) {
                            assertTrue(now.toString(),
                                    leaving < 500 && idle < TIMEOUTS.evictIdle() && silent >= TIMEOUTS.evictSilent());
                        } else if (victim == ConnectionState.IDLE) {
                            assertTrue(now.toString(),
                                    leaving < 500 && (idle >= TIMEOUTS.evictIdle() || silent < TIMEOUTS.evictSilent()));
                        } else if (victim == ConnectionState.FIRST_REQUEST) {
                            assertTrue(now.toString(), leaving < 500 && silent < TIMEOUTS.evictSilent()
                                    && idle < TIMEOUTS.evictJustIdle());
                        }
                    }
                }
            }
        }
    }

    @Test
    public void oneThatWasJustTakenOrIsAtWorkIsLetBe() {
        assertNull(Eviction.choose(new Eviction.OldestMillis(-1, -1, 0, -1, -1), TIMEOUTS));
        assertNull(Eviction.choose(new Eviction.OldestMillis(499, 49, 399, 49, 699), TIMEOUTS));
        assertEquals(ConnectionState.IDLE,
                Eviction.choose(new Eviction.OldestMillis(0, -1, 2_000, 250, 2_000), TIMEOUTS));
        assertEquals(ConnectionState.NEW, Eviction.choose(new Eviction.OldestMillis(0, -1, 400, 249, 2_000), TIMEOUTS));
    }
}
