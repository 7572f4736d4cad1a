package wallmoor.log;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Repeated lines are suppressed and counted, others pass. */
public class RepeatLimiterTest {
    @Test
    public void suppressesAndCountsRepeatedLinesOfOneForm() {
        var limiter = new RepeatLimiter(3, 1000);
        for (int i = 0; i < 3; i++) {
            assertEquals(0, limiter.pass(i, "a"));
        }
        for (int i = 0; i < 7; i++) {
            assertEquals(-1, limiter.pass(500, "a"));
        }
        assertEquals(0, limiter.pass(500, "b"));
        assertEquals("the first line of the next period gets the count", 7, limiter.pass(1000, "a"));
        assertEquals(0, limiter.pass(1001, "a"));
        for (int i = 0; i < 10_000; i++) {
            limiter.pass(1002, "form " + i);
        }
        assertTrue("the number of forms is bounded: the oldest was dropped", limiter.pass(1003, "a") >= 0);
    }
}
