package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The number of parts sent when any n of k make a complete answer, with values from the design page. */
class RedundancyPlannerTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void computesOptimalRedundancy() {
        // slowdown 0.5, load 0.75: lambda = 0.75 / 1.5 = 0.5, r* = 2 - 0.5
        assertEquals(1.5, RedundancyPlanner.optimalRedundancy(0.5, 0.75), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, RedundancyPlanner.optimalRedundancy(0.5, 0));
    }

    @Test
    void clampsToNeededPartsAndCap() {
        assertEquals(10, RedundancyPlanner.clamp(0.4, 10, 20), 1e-9);
        assertEquals(10.5, RedundancyPlanner.clamp(1.05, 10, 20), 1e-9);
        assertEquals(11, RedundancyPlanner.clamp(7, 10, 20), 1e-9);
        assertEquals(10, RedundancyPlanner.clamp(7, 10, 10), 1e-9);
    }

    @Test
    void roundsToSlightlyBelowTheMean() {
        var random = new Random(1);
        double sum = 0;
        for (int i = 0; i < 20_000; i++) {
            int parts = RedundancyPlanner.round(6.6, 6, random.nextDouble());
            assertTrue(parts == 6 || parts == 7);
            sum += parts;
        }
        assertEquals(6.55, sum / 20_000, 0.01);
        assertEquals(6, RedundancyPlanner.round(6, 6, 0.99), "never fewer than needed");
    }

    @Test
    void sendsSparePartToIdleWorkersAndAnswersAfterFirstN() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6)))
                .workers(12);
        int maxSent = 0;
        for (int i = 0; i < 20; i++) {
            harness.actions.clear();
            String queryId = harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            int sentCount = harness.actions("startAttempt").size();
            assertTrue(sentCount == 6 || sentCount == 7);
            maxSent = Math.max(maxSent, sentCount);
            List<String> attempts = harness.actions("startAttempt");
            harness.now += 100 * MS;
            for (int index = 0; index < 6; index++) {
                assertTrue(harness.actions("answer").isEmpty());
                harness.endAttempt(attempts.get(index).split(" ")[1], 0, attempts.get(index).split(" ")[2],
                        AttemptEndReason.OK, 100 * MS);
            }
            assertEquals(List.of("answer " + queryId + " true"), harness.actions("answer"));
            assertEquals(sentCount - 6, harness.actions("cancelAttempt").size());
            for (int index = 6; index < sentCount; index++) {
                harness.endAttempt(attempts.get(index).split(" ")[1], 0, attempts.get(index).split(" ")[2],
                        AttemptEndReason.CANCELLED, 100 * MS);
            }
        }
        assertEquals(7, maxSent);
    }

    @Test
    void sendsNoSparePartsToBusyWorkers() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6)))
                .workers(12);
        harness.query(0, 0, 2, 4, 6, 8, 10, 1, 3, 5, 7);
        for (int i = 0; i < 10; i++) {
            harness.actions.clear();
            harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            assertTrue(harness.actions("startAttempt").size() <= 6);
        }
    }

    @Test
    void sendsSparePartsDespiteHungParts() {
        var site = new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6));
        site.classes = List.of(PolicyHarness.SiteSettings.someParts(0.6, 0.6),
                PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        site.layout = new ShardLayout(24, 24, 1);
        var harness = new PolicyHarness(site).workers(24);
        for (int shard = 12; shard < 24; shard++) {
            harness.query(1, shard);
        }
        harness.advance(1_500 * MS); // half of the workers now have a part in flight that never ends
        int maxSent = 0;
        for (int i = 0; i < 10; i++) {
            harness.actions.clear();
            harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            maxSent = Math.max(maxSent, harness.actions("startAttempt").size());
            harness.answerAll(50 * MS);
            for (String cancelled : harness.actions("cancelAttempt")) {
                String part = cancelled.split(" ")[1];
                harness.endAttempt(part, 0, "any", AttemptEndReason.CANCELLED, 50 * MS);
            }
        }
        assertEquals(7, maxSent);
    }
}
