package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** What the module must not do on the days of service; each was seen on the bench. */
public class LongRunningServiceTest {
    private static final long MS = PolicyHarness.MS;

    /** One worker that answered in 0.9 s when all was slow. */
    private static PolicyHarness afterAStall() {
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
    public void afterAStallQueriesAreTakenAgain() {
        // all were rejected on what workers had once taken; with nothing sent, nothing better was ever heard
        PolicyHarness harness = afterAStall();
        harness.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("not now", 1, harness.actions("reject").size());
        harness.advance(7_000 * MS);
        harness.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("but later", 6, harness.actions("startAttempt").size());
    }

    @Test
    public void anUnusedWorkerComesBackWithoutAFailureElsewhere() {
        // one that had been slow was never asked again while another was at hand
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var harness = new PolicyHarness(site);
        harness.completeList(new WorkerListEntry("one", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE),
                new WorkerListEntry("two", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE));
        String slow = null;
        for (int i = 0; i < 400; i++) {
            harness.actions.clear();
            harness.query(0, 0);
            String worker = harness.workerOf(0);
            if (i == 10) {
                slow = worker;
            } else if (i > 12 && worker.equals(slow)) {
                return;
            }
            harness.answerAll((i == 10 ? 800 : 100) * MS);
        }
        throw new AssertionError("left out for good");
    }

    @Test
    public void aStalledGathererBlamesNoWorkerForIt() {
        // on part of a core a process stands still at times: answers lay unread, and all workers were ejected
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
        assertTrue("a silent worker is still found", harness.actions("log").size() >= 3);
    }

    @Test
    public void workersInSlowStartAreNotStarvedByWhatLittleIsSent() {
        // where most workers were in slow start, little was sent, and the less was sent the less one was allowed
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
        int sent = harness.actions("startAttempt").size();
        assertTrue("sent " + sent, sent >= 4);
    }

    @Test
    public void whatTouchesNoQueryIsLeftToTheSweep() {
        // each event had all open queries decided: the more a busy gatherer held, the further it fell behind
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var harness = new PolicyHarness(site).workers(1);
        harness.query(0, 0);
        harness.endAttempt("q0/0", 0, "leaf0", AttemptEndReason.CONNECT_FAILED, 1);
        assertEquals("out of reach for now", 1, harness.actions("startAttempt").size());
        harness.policy.onWorkerList(harness.now, WorkerListKind.CHANGES, List.of(
                new WorkerListEntry("other", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE)));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(1, harness.actions("startAttempt").size());
        harness.advance(20 * MS);
        assertEquals("sent by the sweep", 2, harness.actions("startAttempt").size());
    }

    @Test
    public void whatIsGoneIsForgotten() {
        // on a day in service new workers replace the old ones all the time
        var fleet = new WorkerTable(new ShardLayout(12, 12, 2));
        for (int i = 0; i < 100; i++) {
            fleet.update(entry(i, WorkerStatus.UP));
            fleet.update(entry(i, WorkerStatus.REMOVED));
        }
        fleet.update(entry(7, WorkerStatus.UP));
        fleet.retainOnly(List.of(entry(8, WorkerStatus.UP)));
        assertEquals(0, fleet.workers().size());
        assertTrue(fleet.byTag(GossipMessage.workerTag("w7")).isEmpty());
        TrackedWorker busy = fleet.update(entry(9, WorkerStatus.UP));
        busy.inFlight.add(new TrackedAttempt(null, busy, 0, 0, 0, 0));
        fleet.update(entry(9, WorkerStatus.REMOVED));
        assertEquals("until nothing is out there", 1, fleet.workers().size());
        busy.inFlight.clear();
        fleet.removeIfUnused(busy);
        assertEquals(0, fleet.workers().size());
    }

    private static WorkerListEntry entry(int i, WorkerStatus state) {
        return new WorkerListEntry("w" + i, 0, 0, i % 12, state, 1, Absent.VALUE);
    }
}
