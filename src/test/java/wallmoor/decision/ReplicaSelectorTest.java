package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which replica a part goes to. */
class ReplicaSelectorTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void theReplicaWithLeastLatencyTimesInFlightIsChosen() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        for (int i = 0; i < 8; i++) {
            harness.actions.clear();
            String q = harness.query(0, 0); // workers 0 and 1 hold shard 0
            String worker = harness.workerOf(0);
            harness.advance(100 * MS);
            harness.endAttempt(q + "/0", 0, worker, AttemptEndReason.OK, worker.equals("leaf0") ? 90 * MS : 300 * MS);
        }
        harness.actions.clear();
        harness.query(0, 0);
        assertEquals("leaf0", harness.workerOf(0));
        harness.query(0, 0);
        harness.query(0, 0);
        harness.query(0, 0);
        assertEquals("leaf1", harness.workerOf(3), "three parts in flight weigh more than a third of the latency");
    }

    @Test
    void aDrainingOrRemovedWorkerGetsNothing() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        harness.completeList(PolicyHarness.worker(0, WorkerStatus.DRAINING, Absent.VALUE),
                PolicyHarness.worker(2, WorkerStatus.UP, Absent.VALUE));
        harness.query(0, 0); // leaf0 drains, leaf1 is missing from the complete list
        assertTrue(harness.actions("startAttempt").isEmpty());
    }

    @Test
    void aPartGoesOnlyToAHolderOfItsShard() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        for (int i = 0; i < 12; i++) {
            harness.actions.clear();
            harness.query(0, i);
            int cell = Integer.parseInt(harness.workerOf(0).substring(4));
            assertTrue(cell == i || cell == (i + 1) % 12);
        }
    }

    /** The other replica carries what a failing one does not: it is busy and slow, and still the better one. */
    @Test
    void aReplicaThatFailsMostPartsIsLeftAloneHoweverBusyTheOther() {
        var harness = failing(Idempotency.IDEMPOTENT);
        harness.query(0, 0);
        harness.query(0, 0);
        harness.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1", "leaf1"),
                List.of(harness.workerOf(0), harness.workerOf(1), harness.workerOf(2)));
    }

    /** A part that runs once only is lost where it fails: that weighs as its class's latency objective. */
    @Test
    void aNonIdempotentPartAvoidsAWorkerThatHasFailedOfLate() {
        for (Idempotency idempotency : List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)) {
            var harness = failing(idempotency);
            harness.now += 12_000 * MS; // the failures have faded to a sixteenth
            harness.query(0, 0);
            assertEquals(idempotency == Idempotency.IDEMPOTENT ? "leaf0" : "leaf1", harness.workerOf(0),
                    idempotency + "");
        }
    }

    /** Workers 0 and 1 hold shard 0; worker 0 is twice as fast, and has failed all of a burst. */
    private static PolicyHarness failing(Idempotency idempotency) {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(idempotency)))
                .workers(2);
        for (int i = 0; i < 24; i++) {
            if (i < 8) {
                harness.actions.clear(); // these come one after another, and all are served
            }
            harness.query(0, 0);
            if (i < 8 || i == 23) {
                harness.advance(100 * MS);
                for (int n = 0; n < harness.actions("startAttempt").size(); n++) { // second attempts come behind
                    String[] sent = harness.actions("startAttempt").get(n).split(" ");
                    long attempt = harness.actions("startAttempt").subList(0, n).stream()
                            .filter(l -> l.contains(sent[1] + " "))
                            .count();
                    harness.endAttempt(sent[1], (int) attempt, sent[2],
                            i == 23 && sent[2].equals("leaf0") ? AttemptEndReason.ERROR : AttemptEndReason.OK,
                            sent[2].equals("leaf0") ? 100 * MS : 200 * MS);
                }
            }
        }
        harness.actions.clear();
        return harness;
    }

    @Test
    void aShardWithNoHealthyReplicaIsRejectedAtOnceWithARetryAfter() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(2).warmUp(0);
        String q = harness.query(0, 5);
        assertEquals(1, harness.actions("reject").size());
        assertTrue(Long.parseLong(harness.actions("reject").get(0).split(" ")[2]) > 0, q);
    }
}
