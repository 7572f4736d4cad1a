package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which workers are ejected, and how they come back. */
class OutlierDetectorTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void aHalfOpenTrialGetsANewConnectionInTheOwnZoneOnly() {
        for (int zone = 0; zone < 2; zone++) {
            var harness = new PolicyHarness(new PolicyHarness.SiteSettings());
            harness.completeList(new WorkerListEntry("leaf0", zone, 0, 0, WorkerStatus.UP, 1, Absent.VALUE));
            String q = harness.query(0, 0);
            harness.endAttempt(q + "/0", 0, "leaf0", AttemptEndReason.RESET, 100 * MS);
            harness.advance(1_000 * MS);
            assertEquals(2, harness.actions("startAttempt").size(), "a trial has gone out");
            assertEquals(1 - zone, harness.actions("closeIdleConnections").size());
        }
    }

    @Test
    void aWorkerThatRejectsPartsIsLeftAloneForAWhile() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0);
        harness.endAttempt("q" + (4 * 12) + "/0", 0, harness.workerOf(0), AttemptEndReason.REJECTED, 2 * MS);
        String full = harness.workerOf(0);
        for (int i = 0; i < 5; i++) {
            harness.query(0, 0);
        }
        long there = harness.actions("startAttempt").stream().skip(1).filter(l -> l.endsWith(" " + full)).count();
        assertEquals(0, there, "attempts are few: none is thrown at a full queue");
        harness.advance(400 * MS);
        harness.query(0, 0);
        assertTrue(harness.actions("startAttempt").stream().skip(1).anyMatch(l -> l.endsWith(" " + full)),
                "tried again then");
    }

    @Test
    void manyConnectTimeoutsBlameNoWorker() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        for (int i = 0; i < 3; i++) {
            String q = harness.query(0, 0, 3, 6);
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = harness.actions("startAttempt").stream().filter(l -> l.contains(q + shard + " "))
                        .findFirst()
                        .orElseThrow();
                harness.endAttempt(q + shard, 0, sent.split(" ")[2], AttemptEndReason.CONNECT_FAILED, 250 * MS);
            }
        }
        long ejected = harness.actions("log").stream().filter(l -> l.contains("CONNECT_FAILED")).count();
        assertTrue(ejected >= 1 && ejected <= 2,
                "the first looked like single workers out of reach, the rest did not: " + ejected);
        assertTrue(harness.actions("reject").isEmpty(), "no shard counts as out of reach");
    }

    /**
     * A lost zone made connecting look slow everywhere: its workers were blamed no more, and sent to again and again.
     */
    @Test
    void connectTimeoutsToOneZoneBlameItsWorkers() {
        var entries = new WorkerListEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = new WorkerListEntry("leaf" + i, i % 2, 0, i, WorkerStatus.UP, 1, Absent.VALUE);
        }
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).completeList(entries).warmUp(12);
        var blamed = new TreeSet<String>();
        for (int i = 0; i < 48; i++) {
            String q = harness.query(0, i % 12);
            for (int attempt = 0; attempt < 2 && harness.actions("startAttempt").size() > attempt; attempt++) {
                String worker = harness.workerOf(attempt);
                boolean lost = Integer.parseInt(worker.substring(4)) % 2 == 1;
                harness.endAttempt(q + "/" + i % 12, attempt, worker,
                        lost ? AttemptEndReason.CONNECT_FAILED : AttemptEndReason.OK,
                        (lost ? 250 : 100) * MS);
            }
            harness.actions("log").stream().filter(l -> l.contains("reason=CONNECT_FAILED"))
                    .forEach(l -> blamed.add(l.split("[ =]")[4]));
            harness.actions.clear();
            harness.advance(20 * MS);
        }
        assertEquals(Set.of("leaf1", "leaf3", "leaf5", "leaf7", "leaf9", "leaf11"), blamed);
    }

    @Test
    void latePartsWaitWhileConnectsTimeOut() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String q = harness.query(0, 0, 3, 6);
        for (int attempt = 0; attempt < 2; attempt++) {
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = harness.actions("startAttempt").stream().filter(l -> l.contains(q + shard + " ")).toList()
                        .get(attempt).split(" ")[2];
                harness.endAttempt(q + shard, attempt, sent,
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
        assertEquals(4, harness.actions("startAttempt").size(), "another copy would need another connection");
    }

    @Test
    void aWorkerThatStopsAnsweringIsEjectedAndComesBack() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0);
        String ejected = harness.workerOf(0);
        harness.advance(900 * MS);
        assertTrue(harness.actions.contains("log worker ejected: worker=" + ejected + " reason=silence"));
        harness.endAttempt("q" + 48 + "/0", 0, ejected, AttemptEndReason.OK, 900 * MS);
        assertTrue(harness.actions.contains("log worker recovered: worker=" + ejected));
    }

    /** Where many gatherers share the traffic, a worker often has but one part of ours, and some parts are long. */
    @Test
    void oneLongPartAloneIsNoSilenceYet() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0); // late after 0.4 s, a fifth of its latency objective
        harness.advance(700 * MS);
        assertTrue(harness.actions("log").isEmpty());
        harness.advance(200 * MS);
        assertEquals(List.of("log worker ejected: worker=" + harness.workerOf(0) + " reason=silence"),
                harness.actions("log"));
    }

    /** A whole zone may be gone, and each trial of each of its workers costs some query of each gatherer its time. */
    @Test
    void anUnreachableWorkerIsTriedLessAndLess() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        var harness = new PolicyHarness(site).workers(1).warmUp(1);
        int tried = 0;
        for (int i = 0; i < 900; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            for (String sent : harness.actions("startAttempt")) {
                harness.endAttempt(sent.split(" ")[1], 0, "leaf0", AttemptEndReason.CONNECT_FAILED, MS);
                tried++;
            }
            harness.advance(20 * MS);
        }
        assertTrue(tried >= 5 && tried <= 15, "in 18 s, from 0.3 s to eight times as long: " + tried);
    }

    @Test
    void aNonIdempotentPartIsNoTrialOfASilentWorker() {
        for (Idempotency idempotency : List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)) {
            var harness = new PolicyHarness(
                    new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(idempotency)))
                    .workers(2)
                    .warmUp(2);
            String q = harness.query(0, 0);
            String silent = harness.workerOf(0);
            harness.advance(900 * MS);
            assertTrue(harness.actions.contains("log worker ejected: worker=" + silent + " reason=silence"));
            harness.endAttempt(q + "/0", 0, silent, AttemptEndReason.CANCELLED, 900 * MS);
            harness.now += 30_000 * MS;
            harness.actions.clear();
            harness.query(0, 0);
            harness.query(0, 0);
            boolean tried = harness.actions("startAttempt").stream().anyMatch(l -> l.endsWith(silent));
            assertEquals(idempotency == Idempotency.IDEMPOTENT, tried, idempotency + "");
        }
    }

    @Test
    void twoPartsUnansweredAreASilence() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(2).warmUp(2);
        for (int i = 0; i < 4; i++) {
            harness.query(0, 0);
        }
        harness.advance(500 * MS);
        assertFalse(harness.actions("log").isEmpty());
    }

    @Test
    void aStalledGathererDoesNotBlameItsWorkers() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String q = harness.query(0, 0);
        harness.now += 1_500 * MS; // no round for long: the sweep's timer and the answer are found together
        harness.policy.onTimer(harness.now, "sweep");
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 1_500 * MS);
        assertEquals(List.of("answer " + q + " true"), harness.actions("answer"));
        assertTrue(harness.actions("log").isEmpty(), "its own gap is not silence of the worker");
        String worker = harness.workerOf(0);
        int again = 0;
        for (int i = 0; i < 8; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            again += harness.workerOf(0).equals(worker) ? 1 : 0;
            harness.answerAll(100 * MS);
        }
        assertTrue(again > 0, "nor is the answer's time the worker's");
    }
}
