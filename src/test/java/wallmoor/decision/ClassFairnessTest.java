package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** The extra weight of the class that is served worst, if the settings give it one. */
public class ClassFairnessTest {
    private static ClassFairness fairness(double worstClassWeight) {
        return new ClassFairness(List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT),
                PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT)), worstClassWeight);
    }

    @Test
    public void raisesWeightFactorOfWorstServedClassOnly() {
        ClassFairness fairness = fairness(0.5);
        for (int i = 0; i < 300; i++) {
            fairness.record(0, 2, true);
            fairness.record(1, 1, i % 2 == 0);
        }
        assertEquals(1, fairness.weightFactor(0), 0);
        assertEquals("1 + 0.5 x total requested weight / requested weight of the class",
                1 + 0.5 * 3, fairness.weightFactor(1), 0.05);
    }

    @Test
    public void equalizesWeightFactorsOnceClassesAreServedEqually() {
        ClassFairness fairness = fairness(0.5);
        for (int i = 0; i < 100; i++) {
            fairness.record(0, 1, true);
            fairness.record(1, 1, i < 50);
        }
        assertTrue(fairness.weightFactor(1) > fairness.weightFactor(0));
        for (int i = 0; i < 3_000; i++) {
            fairness.record(0, 1, true);
            fairness.record(1, 1, true);
        }
        assertEquals(fairness.weightFactor(0), fairness.weightFactor(1), 0.01);
    }

    @Test
    public void keepsWeightFactorsAtOneWithoutWorstClassWeight() {
        ClassFairness fairness = fairness(0);
        fairness.record(0, 1, true);
        fairness.record(1, 1, false);
        assertEquals(1, fairness.weightFactor(0), 0);
        assertEquals(1, fairness.weightFactor(1), 0);
    }
}
