package wallmoor.core;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests that ids of ended queries are kept for a bounded time and in a bounded number. */
public class EndedQueryIdsTest {
    @Test
    public void keepsABoundedNumberOfEndedIds() {
        var ids = new EndedQueryIds();
        for (int i = 0; i <= EndedQueryIds.MAX_IDS; i++) {
            ids.add("q" + i, i);
        }
        assertFalse("the oldest one is dropped", ids.contains("q0", 0));
        assertTrue(ids.contains("q1", EndedQueryIds.RETENTION_MICROS));
        assertFalse(ids.contains("q1", EndedQueryIds.RETENTION_MICROS + 1));
    }
}
