package wallmoor.log;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Lines that repeat are held back and counted, others pass. */
public class RepeatLimiterTest {
    @Test
    public void aFaultThatRepeatsIsHeldBackAndCountedAndOthersPass() {
        var repeats = new RepeatLimiter(3, 1000);
        for (int i = 0; i < 3; i++) {
            assertEquals(0, repeats.pass(i, "a"));
        }
        for (int i = 0; i < 7; i++) {
            assertEquals(-1, repeats.pass(500, "a"));
        }
        assertEquals(0, repeats.pass(500, "b"));
        assertEquals("the first of the next period tells", 7, repeats.pass(1000, "a"));
        assertEquals(0, repeats.pass(1001, "a"));
        for (int i = 0; i < 10_000; i++) {
            repeats.pass(1002, "form " + i);
        }
        assertTrue("forms are bounded: the old one is forgotten", repeats.pass(1003, "a") >= 0);
    }
}
