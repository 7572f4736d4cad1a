package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Guards against faults that appear only after a policy has run for a long time. */
public class LongRunningServiceTest {
    private static final long MS = PolicyHarness.MS;

    /** Returns a policy whose only worker answered in 0.9 s while everything was slow. */
    private static PolicyHarness policyAfterSlowAnswer() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        site.classes = List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        var harness = new PolicyHarness(site).workers(1);
        harness.query(0, 0);
        harness.answerAll(900 * MS);
        harness.actions.clear();
        return harness;
    }

    @Test
    public void admitsQueriesAgainOnceOldLatenciesDecay() {
        // Guards against rejecting all queries for good: without any attempt, no better latency is measured.
        PolicyHarness harness = policyAfterSlowAnswer();
        harness.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("rejected right after the slow answer", 1, harness.actions("reject").size());
        harness.advance(7_000 * MS);
        harness.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("admitted once the latency has decayed", 6, harness.actions("startAttempt").size());
    }

    @Test
    public void usesSlowWorkerAgainAfterAWhile() {
        // Guards against never using a worker again that was slow once, while another worker is available.
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var harness = new PolicyHarness(site);
        harness.completeList(new WorkerListEntry("one", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE),
                new WorkerListEntry("two", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE));
        String slowWorker = null;
        for (int i = 0; i < 400; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            String worker = harness.workerOf(0);
            if (i == 10) {
                slowWorker = worker;
            } else if (i > 12 && worker.equals(slowWorker)) {
                return;
            }
            harness.answerAll((i == 10 ? 800 : 100) * MS);
        }
        throw new AssertionError("the slow worker was never used again");
    }

    @Test
    public void ejectsNoWorkerAfterItsOwnStall() {
        // Guards against ejecting all workers after this process was suspended while answers were waiting to be read.
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        harness.query(0, 0, 3, 6);
        harness.advance(20 * MS);
        harness.actions.clear();
        harness.now += 900 * MS;
        harness.policy.onTimer(harness.now, "sweep");
        harness.policy.onRoundEnd(harness.now);
        harness.advance(60 * MS);
        assertEquals(List.of(), harness.actions("log"));
        harness.advance(900 * MS);
        assertTrue("silent workers are still ejected", harness.actions("log").size() >= 3);
    }

    @Test
    public void sendsToWorkerInSlowStartAfterIdlePeriod() {
        // Guards against allowances that shrink with the traffic while most workers are in slow start.
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var harness = new PolicyHarness(site).workers(1).warmUp(1);
        for (int i = 0; i < 40; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            harness.answerAll(40 * MS);
        }
        harness.advance(5_000 * MS);
        harness.actions.clear();
        harness.policy.onWorkerList(harness.now, WorkerListKind.CHANGES,
                List.of(PolicyHarness.worker(0, WorkerStatus.UP, harness.now - 1)));
        for (int i = 0; i < 5; i++) {
            harness.query(0, 0);
        }
        int attempts = harness.actions("startAttempt").size();
        assertTrue("attempts: " + attempts, attempts >= 4);
    }

    @Test
    public void defersUnaffectedQueriesToTheSweep() {
        // Guards against deciding on all open queries at each event, which made a busy gatherer fall further behind.
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var harness = new PolicyHarness(site).workers(1);
        harness.query(0, 0);
        harness.endAttempt("q0/0", 0, "leaf0", AttemptEndReason.CONNECT_FAILED, 1);
        assertEquals("the only worker is unreachable", 1, harness.actions("startAttempt").size());
        harness.policy.onWorkerList(harness.now, WorkerListKind.CHANGES, List.of(
                new WorkerListEntry("other", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE)));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(1, harness.actions("startAttempt").size());
        harness.advance(20 * MS);
        assertEquals("sent by the sweep", 2, harness.actions("startAttempt").size());
    }

    @Test
    public void removesGoneWorkersOnceUnused() {
        // Guards against unbounded growth: new workers replace old ones continuously.
        var table = new WorkerTable(new ShardLayout(12, 12, 2));
        for (int i = 0; i < 100; i++) {
            table.update(entry(i, WorkerStatus.UP));
            table.update(entry(i, WorkerStatus.REMOVED));
        }
        table.update(entry(7, WorkerStatus.UP));
        table.retainOnly(List.of(entry(8, WorkerStatus.UP)));
        assertEquals(0, table.workers().size());
        assertTrue(table.byTag(GossipMessage.workerTag("w7")).isEmpty());
        TrackedWorker busy = table.update(entry(9, WorkerStatus.UP));
        busy.inFlight.add(new TrackedAttempt(null, busy, 0, 0, 0, 0));
        table.update(entry(9, WorkerStatus.REMOVED));
        assertEquals("removed only once nothing is in flight", 1, table.workers().size());
        busy.inFlight.clear();
        table.removeIfUnused(busy);
        assertEquals(0, table.workers().size());
    }

    private static WorkerListEntry entry(int i, WorkerStatus status) {
        return new WorkerListEntry("w" + i, 0, 0, i % 12, status, 1, Absent.VALUE);
    }
}
