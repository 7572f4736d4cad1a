package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** The class that is served worst counts by itself where the operators say so. */
public class ClassFairnessTest {
    private static ClassFairness shares(double counts) {
        return new ClassFairness(List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT),
                PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT)), counts);
    }

    @Test
    public void onlyTheWorstServedClassCountsTwice() {
        ClassFairness shares = shares(0.5);
        for (int i = 0; i < 300; i++) {
            shares.add(0, 2, true);
            shares.add(1, 1, i % 2 == 0);
        }
        assertEquals(1, shares.weight(0), 0);
        assertEquals("half of all that is asked for, over a third", 1 + 0.5 * 3, shares.weight(1), 0.05);
    }

    @Test
    public void classesServedAlikeCountAlikeAndAClassComesBack() {
        ClassFairness shares = shares(0.5);
        for (int i = 0; i < 100; i++) {
            shares.add(0, 1, true);
            shares.add(1, 1, i < 50);
        }
        assertTrue(shares.weight(1) > shares.weight(0));
        for (int i = 0; i < 3_000; i++) {
            shares.add(0, 1, true);
            shares.add(1, 1, true);
        }
        assertEquals(shares.weight(0), shares.weight(1), 0.01);
    }

    @Test
    public void withoutSuchAnAimNothingIsWeighed() {
        ClassFairness shares = shares(0);
        shares.add(0, 1, true);
        shares.add(1, 1, false);
        assertEquals(1, shares.weight(0), 0);
        assertEquals(1, shares.weight(1), 0);
    }
}
