package wallmoor.decision;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

/**
 * Guards against rejecting queries that have enough time: a new class must not assume that a query of one part takes
 * longer than its part.
 */
public class AdmissionControlTest {
    private static final long MS = PolicyHarness.MS;

    /**
     * Returns a policy with one worker that answers in 0.9 s, within the latency objective of 2 s for a query of one
     * part.
     */
    private static PolicyHarness policyWithSlowWorker() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        site.classes = List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT),
                PolicyHarness.SiteSettings.allParts(Idempotency.NOT_IDEMPOTENT));
        var harness = new PolicyHarness(site).workers(1);
        harness.query(0, 0);
        harness.answerAll(900 * MS);
        harness.actions.clear();
        return harness;
    }

    @Test
    public void admitsQueryOfOnePartThatFitsItsObjective() {
        PolicyHarness harness = policyWithSlowWorker();
        harness.query(1, 3);
        assertEquals(List.of(), harness.actions("reject"));
        assertEquals(1, harness.actions("startAttempt").size());
    }

    @Test
    public void rejectsQueryOfManyPartsThatExceedsItsObjective() {
        PolicyHarness harness = policyWithSlowWorker();
        harness.query(1, 0, 2, 4, 6, 8, 10);
        assertEquals(1, harness.actions("reject").size());
    }

    /** Returns a policy with two workers per shard and two classes, whose priority weights are 100 and 1. */
    private static PolicyHarness policyWithUnequalClasses(int latencyMillis) {
        var site = new PolicyHarness.SiteSettings();
        var highWeightClass = new QueryClass(100, 0.3, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT,
                0, 1, 1, 0.9, 0);
        site.classes = List.of(highWeightClass, PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        var harness = new PolicyHarness(site).workers(12);
        for (int i = 0; i < 40; i++) {
            harness.query(0, 0);
            harness.answerAll(latencyMillis * MS);
            harness.actions.clear();
        }
        return harness;
    }

    /**
     * With many gatherers, each one sees little traffic: a few long answers at one of them must not count as scarce
     * time.
     */
    @Test
    public void admitsLowWeightQueryWhileTimeIsNotScarce() {
        PolicyHarness harness = policyWithUnequalClasses(200);
        for (int i = 0; i < 4; i++) { // workers 0 and 1, which hold shard 0, are slower now
            harness.query(0, 0);
            harness.answerAll(1_500 * MS);
        }
        harness.actions.clear();
        harness.query(1, 0);
        assertEquals(List.of(), harness.actions("reject"));
        assertEquals(1, harness.actions("startAttempt").size());
    }
}
