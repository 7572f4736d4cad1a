package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How many parts are sent where any n of k make a complete answer: the figures of the design. */
class RedundancyPlannerTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void rStarByHand() {
        // slowdown 0.5, load 0.75: lambda = 0.75 / 1.5 = 0.5, r* = 2 - 0.5
        assertEquals(1.5, RedundancyPlanner.optimalRedundancy(0.5, 0.75), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, RedundancyPlanner.optimalRedundancy(0.5, 0));
    }

    @Test
    void clampKeepsWithinNeedAndCap() {
        assertEquals(10, RedundancyPlanner.clamp(0.4, 10, 20), 1e-9);
        assertEquals(10.5, RedundancyPlanner.clamp(1.05, 10, 20), 1e-9);
        assertEquals(11, RedundancyPlanner.clamp(7, 10, 20), 1e-9);
        assertEquals(10, RedundancyPlanner.clamp(7, 10, 10), 1e-9);
    }

    @Test
    void roundingKeepsTheMeanALittleLow() {
        var random = new Random(1);
        double sum = 0;
        for (int i = 0; i < 20_000; i++) {
            int r = RedundancyPlanner.round(6.6, 6, random.nextDouble());
            assertTrue(r == 6 || r == 7);
            sum += r;
        }
        assertEquals(6.55, sum / 20_000, 0.01);
        assertEquals(6, RedundancyPlanner.round(6, 6, 0.99), "never fewer than needed");
    }

    @Test
    void idleWorkersAreAskedASpareAndTheFirstNFinish() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6))).workers(12);
        int most = 0;
        for (int i = 0; i < 20; i++) {
            harness.actions.clear();
            String q = harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            int asked = harness.actions("startAttempt").size();
            assertTrue(asked == 6 || asked == 7);
            most = Math.max(most, asked);
            List<String> sent = harness.actions("startAttempt");
            harness.now += 100 * MS;
            for (int n = 0; n < 6; n++) {
                assertTrue(harness.actions("answer").isEmpty());
                harness.endAttempt(sent.get(n).split(" ")[1], 0, sent.get(n).split(" ")[2], AttemptEndReason.OK,
                        100 * MS);
            }
            assertEquals(List.of("answer " + q + " true"), harness.actions("answer"));
            assertEquals(asked - 6, harness.actions("cancelAttempt").size());
            for (int n = 6; n < asked; n++) {
                harness.endAttempt(sent.get(n).split(" ")[1], 0, sent.get(n).split(" ")[2], AttemptEndReason.CANCELLED,
                        100 * MS);
            }
        }
        assertEquals(7, most);
    }

    @Test
    void busyWorkersAreAskedOnlyWhatIsNeeded() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6))).workers(12);
        harness.query(0, 0, 2, 4, 6, 8, 10, 1, 3, 5, 7);
        for (int i = 0; i < 10; i++) {
            harness.actions.clear();
            harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            assertTrue(harness.actions("startAttempt").size() <= 6);
        }
    }

    @Test
    void hungPartsDoNotTakeTheSparesAway() {
        var site = new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6));
        site.classes = List.of(PolicyHarness.SiteSettings.someParts(0.6, 0.6),
                PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        site.layout = new ShardLayout(24, 24, 1);
        var harness = new PolicyHarness(site).workers(24);
        for (int shard = 12; shard < 24; shard++) {
            harness.query(1, shard);
        }
        harness.advance(1_500 * MS); // half of the workers now hold a part that never ends
        int most = 0;
        for (int i = 0; i < 10; i++) {
            harness.actions.clear();
            harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            most = Math.max(most, harness.actions("startAttempt").size());
            harness.answerAll(50 * MS);
            for (String cancelled : harness.actions("cancelAttempt")) {
                String part = cancelled.split(" ")[1];
                harness.endAttempt(part, 0, "any", AttemptEndReason.CANCELLED, 50 * MS);
            }
        }
        assertEquals(7, most);
    }
}
