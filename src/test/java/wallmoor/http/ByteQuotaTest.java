package wallmoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;

/** Tests the quota's limit, also with threads that take and give back at the same time. */
public class ByteQuotaTest {
    private static final long CAPACITY = 100;

    @Test
    public void grantsWhatIsLeftAndOneThatIsLargerByItself() {
        var quota = new ByteQuota(CAPACITY);
        assertTrue(quota.tryTake(60));
        assertFalse(quota.tryTake(41));
        assertTrue(quota.tryTake(40));
        assertFalse(quota.isExceeded());
        assertEquals(0, quota.freeBytes());
        quota.add(1);
        assertTrue(quota.isExceeded());
        quota.add(-1);
        quota.giveBack(100);
        assertTrue(quota.tryTake(CAPACITY + 1));
        assertFalse(quota.tryTake(1));
        quota.giveBack(CAPACITY + 1);
        assertEquals(0, quota.usedBytes());
    }

    @Test
    public void neverGrantsMoreThanItsCapacityToManyThreads() throws InterruptedException {
        var quota = new ByteQuota(CAPACITY);
        var granted = new AtomicLong();
        var greatest = new AtomicLong();
        var threads = new ArrayList<Thread>();
        for (int t = 0; t < 4; t++) {
            int bytes = 7 + t;
            var thread = new Thread(() -> {
                for (int i = 0; i < 20_000; i++) {
                    if (quota.tryTake(bytes)) {
                        greatest.accumulateAndGet(granted.addAndGet(bytes), Math::max);
                        granted.addAndGet(-bytes);
                        quota.giveBack(bytes);
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertTrue("" + greatest, greatest.get() <= CAPACITY);
        assertEquals(0, quota.usedBytes());
    }
}
