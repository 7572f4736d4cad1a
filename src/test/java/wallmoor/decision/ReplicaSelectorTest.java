package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The choice of the replica for a part. */
class ReplicaSelectorTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void choosesReplicaWithLowestLatencyTimesInFlight() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        for (int i = 0; i < 8; i++) {
            harness.actions.clear();
            String queryId = harness.query(0, 0); // workers 0 and 1 hold shard 0
            String worker = harness.workerOf(0);
            harness.advance(100 * MS);
            harness.endAttempt(queryId + "/0", 0, worker, AttemptEndReason.OK,
                    worker.equals("leaf0") ? 90 * MS : 300 * MS);
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
    void sendsNothingToDrainingOrRemovedWorker() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        harness.completeList(PolicyHarness.worker(0, WorkerStatus.DRAINING, Absent.VALUE),
                PolicyHarness.worker(2, WorkerStatus.UP, Absent.VALUE));
        harness.query(0, 0); // leaf0 is draining, leaf1 is missing from the complete list
        assertTrue(harness.actions("startAttempt").isEmpty());
    }

    @Test
    void sendsPartOnlyToHolderOfItsShard() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        for (int i = 0; i < 12; i++) {
            harness.actions.clear();
            harness.query(0, i);
            int cell = Integer.parseInt(harness.workerOf(0).substring(4));
            assertTrue(cell == i || cell == (i + 1) % 12);
        }
    }

    /** The other replica is busy and slow, and still better than one that fails most parts. */
    @Test
    void avoidsFailingReplicaEvenIfTheOtherIsBusy() {
        var harness = policyWithFailingWorker(Idempotency.IDEMPOTENT);
        harness.query(0, 0);
        harness.query(0, 0);
        harness.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1", "leaf1"),
                List.of(harness.workerOf(0), harness.workerOf(1), harness.workerOf(2)));
    }

    /** A failed part that must not be executed twice is lost, which weighs as much as its class's latency objective. */
    @Test
    void avoidsRecentlyFailingWorkerForNonIdempotentPart() {
        for (Idempotency idempotency : List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)) {
            var harness = policyWithFailingWorker(idempotency);
            harness.now += 12_000 * MS; // the failure rate has decayed to a sixteenth
            harness.query(0, 0);
            assertEquals(idempotency == Idempotency.IDEMPOTENT ? "leaf0" : "leaf1", harness.workerOf(0),
                    idempotency + "");
        }
    }

    /**
     * Returns a policy where workers 0 and 1 hold shard 0; worker 0 is twice as fast and has failed all parts of a
     * burst.
     */
    private static PolicyHarness policyWithFailingWorker(Idempotency idempotency) {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.allParts(idempotency)))
                .workers(2);
        for (int i = 0; i < 24; i++) {
            if (i < 8) {
                harness.actions.clear(); // these come one after another and are all answered
            }
            harness.query(0, 0);
            if (i < 8 || i == 23) {
                harness.advance(100 * MS);
                for (int index = 0; index < harness.actions("startAttempt").size(); index++) {
                    // second attempts follow the first ones
                    String[] sent = harness.actions("startAttempt").get(index).split(" ");
                    long attempt = harness.actions("startAttempt").subList(0, index).stream()
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
    void rejectsQueryForShardWithoutReplicaWithRetryAfter() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(2).warmUp(0);
        String queryId = harness.query(0, 5);
        assertEquals(1, harness.actions("reject").size());
        assertTrue(Long.parseLong(harness.actions("reject").get(0).split(" ")[2]) > 0, queryId);
    }
}
