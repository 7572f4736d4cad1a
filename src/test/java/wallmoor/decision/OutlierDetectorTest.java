package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Ejection of workers, and their return. */
class OutlierDetectorTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void opensNewConnectionForTrialInOwnZoneOnly() {
        for (int zone = 0; zone < 2; zone++) {
            var harness = new PolicyHarness(new PolicyHarness.SiteSettings());
            harness.completeList(new WorkerListEntry("leaf0", zone, 0, 0, WorkerStatus.UP, 1, Absent.VALUE));
            String queryId = harness.query(0, 0);
            harness.endAttempt(queryId + "/0", 0, "leaf0", AttemptEndReason.RESET, 100 * MS);
            harness.advance(1_000 * MS);
            assertEquals(2, harness.actions("startAttempt").size(), "a trial was sent");
            assertEquals(1 - zone, harness.actions("closeIdleConnections").size());
        }
    }

    @Test
    void avoidsWorkerThatRejectedAPart() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0);
        harness.endAttempt("q" + (4 * 12) + "/0", 0, harness.workerOf(0), AttemptEndReason.REJECTED, 2 * MS);
        String rejectingWorker = harness.workerOf(0);
        for (int i = 0; i < 5; i++) {
            harness.query(0, 0);
        }
        long attemptsThere = harness.actions("startAttempt").stream().skip(1)
                .filter(l -> l.endsWith(" " + rejectingWorker)).count();
        assertEquals(0, attemptsThere, "no attempt is wasted on a full queue");
        harness.advance(400 * MS);
        harness.query(0, 0);
        assertTrue(harness.actions("startAttempt").stream().skip(1).anyMatch(l -> l.endsWith(" " + rejectingWorker)),
                "used again after the ejection");
    }

    @Test
    void ejectsFewWorkersWhenConnectsTimeOutEverywhere() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        for (int i = 0; i < 3; i++) {
            String queryId = harness.query(0, 0, 3, 6);
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = harness.actions("startAttempt").stream().filter(l -> l.contains(queryId + shard + " "))
                        .findFirst()
                        .orElseThrow();
                harness.endAttempt(queryId + shard, 0, sent.split(" ")[2], AttemptEndReason.CONNECT_FAILED, 250 * MS);
            }
        }
        long ejected = harness.actions("log").stream().filter(l -> l.contains("CONNECT_FAILED")).count();
        assertTrue(ejected >= 1 && ejected <= 2,
                "only the first timeouts look like unreachable workers: " + ejected);
        assertTrue(harness.actions("reject").isEmpty(), "no shard is considered unreachable");
    }

    /**
     * Guards against treating the loss of one zone as slow connecting everywhere: its workers were no longer ejected,
     * and parts were sent to them again and again.
     */
    @Test
    void ejectsWorkersOfTheZoneWhereConnectsTimeOut() {
        var entries = new WorkerListEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = new WorkerListEntry("leaf" + i, i % 2, 0, i, WorkerStatus.UP, 1, Absent.VALUE);
        }
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).completeList(entries).warmUp(12);
        var ejectedWorkers = new TreeSet<String>();
        for (int i = 0; i < 48; i++) {
            String queryId = harness.query(0, i % 12);
            for (int attempt = 0; attempt < 2 && harness.actions("startAttempt").size() > attempt; attempt++) {
                String worker = harness.workerOf(attempt);
                boolean isLost = Integer.parseInt(worker.substring(4)) % 2 == 1;
                harness.endAttempt(queryId + "/" + i % 12, attempt, worker,
                        isLost ? AttemptEndReason.CONNECT_FAILED : AttemptEndReason.OK,
                        (isLost ? 250 : 100) * MS);
            }
            harness.actions("log").stream().filter(l -> l.contains("reason=CONNECT_FAILED"))
                    .forEach(l -> ejectedWorkers.add(l.split("[ =]")[4]));
            harness.actions.clear();
            harness.advance(20 * MS);
        }
        assertEquals(Set.of("leaf1", "leaf3", "leaf5", "leaf7", "leaf9", "leaf11"), ejectedWorkers);
    }

    @Test
    void sendsNoHedgedRequestsWhileConnectsTimeOut() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String queryId = harness.query(0, 0, 3, 6);
        for (int attempt = 0; attempt < 2; attempt++) {
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = harness.actions("startAttempt").stream()
                        .filter(l -> l.contains(queryId + shard + " ")).toList().get(attempt).split(" ")[2];
                harness.endAttempt(queryId + shard, attempt, sent,
                        attempt == 0 ? AttemptEndReason.CONNECT_FAILED : AttemptEndReason.OK, 250 * MS);
            }
        }
        harness.actions.clear();
        for (int i = 0; i < 4; i++) {
            harness.query(0, 9);
        }
        harness.advance(300 * MS);
        List<String> sent = List.copyOf(harness.actions("startAttempt"));
        for (String worker : List.of("leaf9", "leaf10")) {
            String part = sent.stream().filter(l -> l.endsWith(" " + worker)).skip(1).findFirst().orElseThrow();
            harness.endAttempt(part.split(" ")[1], 0, worker, AttemptEndReason.OK, 300 * MS);
        }
        harness.advance(200 * MS);
        assertEquals(4, harness.actions("startAttempt").size(), "a hedged request would need another connection");
    }

    @Test
    void ejectsSilentWorkerUntilItAnswers() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0);
        String ejected = harness.workerOf(0);
        harness.advance(900 * MS);
        assertTrue(harness.actions.contains("log worker ejected: worker=" + ejected + " reason=silence"));
        harness.endAttempt("q" + 48 + "/0", 0, ejected, AttemptEndReason.OK, 900 * MS);
        assertTrue(harness.actions.contains("log worker recovered: worker=" + ejected));
    }

    /** With many gatherers, a worker often has a single part of this gatherer in flight, and some parts are long. */
    @Test
    void waitsLongerForSingleLongPart() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0); // late after 0.4 s, a fifth of its latency objective
        harness.advance(700 * MS);
        assertTrue(harness.actions("log").isEmpty());
        harness.advance(200 * MS);
        assertEquals(List.of("log worker ejected: worker=" + harness.workerOf(0) + " reason=silence"),
                harness.actions("log"));
    }

    /** A whole zone may be lost, and each trial of each of its workers costs each gatherer's queries time. */
    @Test
    void triesUnreachableWorkerLessAndLessOften() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        var harness = new PolicyHarness(site).workers(1).warmUp(1);
        int trials = 0;
        for (int i = 0; i < 900; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            for (String sent : harness.actions("startAttempt")) {
                harness.endAttempt(sent.split(" ")[1], 0, "leaf0", AttemptEndReason.CONNECT_FAILED, MS);
                trials++;
            }
            harness.advance(20 * MS);
        }
        assertTrue(trials >= 5 && trials <= 15,
                "trials in 18 s, at intervals from 0.3 s to eight times that: " + trials);
    }

    @Test
    void usesNoNonIdempotentPartAsTrial() {
        for (Idempotency idempotency : List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)) {
            var harness = new PolicyHarness(
                    new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.allParts(idempotency)))
                    .workers(2)
                    .warmUp(2);
            String queryId = harness.query(0, 0);
            String silentWorker = harness.workerOf(0);
            harness.advance(900 * MS);
            assertTrue(harness.actions.contains("log worker ejected: worker=" + silentWorker + " reason=silence"));
            harness.endAttempt(queryId + "/0", 0, silentWorker, AttemptEndReason.CANCELLED, 900 * MS);
            harness.now += 30_000 * MS;
            harness.actions.clear();
            harness.query(0, 0);
            harness.query(0, 0);
            boolean isTried = harness.actions("startAttempt").stream().anyMatch(l -> l.endsWith(silentWorker));
            assertEquals(idempotency == Idempotency.IDEMPOTENT, isTried, idempotency + "");
        }
    }

    @Test
    void ejectsWorkerWithTwoUnansweredParts() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(2).warmUp(2);
        for (int i = 0; i < 4; i++) {
            harness.query(0, 0);
        }
        harness.advance(500 * MS);
        assertFalse(harness.actions("log").isEmpty());
    }

    @Test
    void recordsNoLatencyAfterItsOwnStall() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String queryId = harness.query(0, 0);
        harness.now += 1_500 * MS; // no round for 1.5 s: the sweep timer and the answer are handled together
        harness.policy.onTimer(harness.now, "sweep");
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 1_500 * MS);
        assertEquals(List.of("answer " + queryId + " true"), harness.actions("answer"));
        assertTrue(harness.actions("log").isEmpty(), "the gatherer's own stall is no silence of the worker");
        String worker = harness.workerOf(0);
        int reuses = 0;
        for (int i = 0; i < 8; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            reuses += harness.workerOf(0).equals(worker) ? 1 : 0;
            harness.answerAll(100 * MS);
        }
        assertTrue(reuses > 0, "the answer's duration is not the worker's latency");
    }
}
