package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/** The number of parts that a worker in slow start gets from one gatherer and from several. */
class SlowStartAllowanceTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void limitsPartsToWorkerInSlowStart() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings())
                .completeList(PolicyHarness.worker(0, WorkerStatus.UP, 900_000));
        for (int i = 0; i < 20; i++) {
            harness.query(0, 0);
            harness.now += 10 * MS;
        }
        assertEquals(1, harness.actions("startAttempt").size(), "the throughput of a warm worker is unknown");
    }

    @Test
    void limitsPartsOfManyGatherersToWorkerInSlowStart() {
        var harnesses = new ArrayList<PolicyHarness>();
        for (int i = 0; i < 60; i++) {
            var site = new PolicyHarness.SiteSettings();
            site.gatherers = 60;
            site.position = i;
            harnesses.add(new PolicyHarness(site).completeList(PolicyHarness.worker(0, WorkerStatus.UP, 900_000)));
        }
        for (int step = 0; step < 60; step++) {
            for (PolicyHarness harness : harnesses) {
                harness.query(0, 0);
                harness.advance(50 * MS);
            }
        }
        int sent = harnesses.stream().mapToInt(r -> r.actions("startAttempt").size()).sum();
        assertTrue(sent >= 2, "at least some gatherers have a turn: " + sent);
        assertTrue(sent <= 4, "one gatherer a window of a second, in three seconds: " + sent);
    }

    @Test
    void sharesAllowanceAmongPresentGatherersOnly() {
        int[] sent = new int[2];
        for (int notified = 0; notified < 2; notified++) {
            var harnesses = new ArrayList<PolicyHarness>();
            for (int i = 0; i < 4; i++) {
                var site = new PolicyHarness.SiteSettings();
                site.gatherers = 60;
                site.position = 10 + i;
                harnesses.add(new PolicyHarness(site).completeList(PolicyHarness.worker(0, WorkerStatus.UP, 900_000)));
                if (notified == 1) {
                    harnesses.get(i).policy.onGatherersChanged(4, i);
                }
            }
            for (int step = 0; step < 60; step++) {
                for (PolicyHarness harness : harnesses) {
                    harness.query(0, 0);
                    harness.advance(50 * MS);
                }
            }
            sent[notified] = harnesses.stream().mapToInt(r -> r.actions("startAttempt").size()).sum();
        }
        assertEquals(0, sent[0], "all turns belong to absent gatherers");
        assertTrue(sent[1] >= 2 && sent[1] <= 4, "one gatherer a window of a second, in three seconds: " + sent[1]);
    }

    @Test
    void doesNotTakeSlowConnectForRestart() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings())
                .completeList(PolicyHarness.worker(0, WorkerStatus.UP, Absent.VALUE));
        String queryId = harness.query(0, 0);
        harness.endAttempt(queryId + "/0", 0, "leaf0", AttemptEndReason.CONNECT_FAILED, 250 * MS);
        harness.advance(1_000 * MS);
        harness.endAttempt(queryId + "/0", 1, "leaf0", AttemptEndReason.OK, 100 * MS);
        harness.actions.clear();
        for (int i = 0; i < 4; i++) {
            harness.query(0, 0);
        }
        assertEquals(4, harness.actions("startAttempt").size(), "the worker is not considered to be in slow start");
    }
}
