package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** What the module must not do on the days of service; each was seen on the bench. */
public class LongRunningServiceTest {
    private static final long MS = PolicyHarness.MS;

    /** One leaf that answered in 0.9 s when all was slow. */
    private static PolicyHarness afterAStall() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        site.classes = List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        var rig = new PolicyHarness(site).workers(1);
        rig.query(0, 0);
        rig.answerAll(900 * MS);
        rig.actions.clear();
        return rig;
    }

    @Test
    public void afterAStallQueriesAreTakenAgain() {
        // all were refused on what leaves had once taken; with nothing sent, nothing better was ever heard
        PolicyHarness rig = afterAStall();
        rig.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("not now", 1, rig.actions("refuse").size());
        rig.advance(7_000 * MS);
        rig.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("but later", 6, rig.actions("assign").size());
    }

    @Test
    public void anUnusedWorkerComesBackWithoutAFailureElsewhere() {
        // one that had been slow was never asked again while another was at hand
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var rig = new PolicyHarness(site);
        rig.completeList(new WorkerListEntry("one", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE),
                new WorkerListEntry("two", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE));
        String slow = null;
        for (int i = 0; i < 400; i++) {
            rig.actions.clear();
            rig.query(0, 0);
            String leaf = rig.workerOf(0);
            if (i == 10) {
                slow = leaf;
            } else if (i > 12 && leaf.equals(slow)) {
                return;
            }
            rig.answerAll((i == 10 ? 800 : 100) * MS);
        }
        throw new AssertionError("left out for good");
    }

    @Test
    public void aStalledGathererBlamesNoWorkerForIt() {
        // on part of a core a process stands still at times: answers lay unread, and all leaves were taken for ill
        var rig = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        rig.query(0, 0, 3, 6);
        rig.advance(20 * MS);
        rig.actions.clear();
        rig.now += 900 * MS;
        rig.policy.onTimer(rig.now, "sweep");
        rig.policy.onRoundEnd(rig.now);
        rig.advance(60 * MS);
        assertEquals(List.of(), rig.actions("log"));
        rig.advance(900 * MS);
        assertTrue("a silent leaf is still found", rig.actions("log").size() >= 3);
    }

    @Test
    public void workersInSlowStartAreNotStarvedByWhatLittleIsSent() {
        // where most leaves were cold, little was sent, and the less was sent the less a cold one was allowed
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var rig = new PolicyHarness(site).workers(1).warmUp(1);
        for (int i = 0; i < 40; i++) {
            rig.actions.clear();
            rig.query(0, 0);
            rig.answerAll(40 * MS);
        }
        rig.advance(5_000 * MS);
        rig.actions.clear();
        rig.policy.onWorkerList(rig.now, WorkerListKind.CHANGES,
                List.of(PolicyHarness.worker(0, WorkerStatus.UP, rig.now - 1)));
        for (int i = 0; i < 5; i++) {
            rig.query(0, 0);
        }
        int sent = rig.actions("assign").size();
        assertTrue("sent " + sent, sent >= 4);
    }

    @Test
    public void whatTouchesNoQueryIsLeftToTheSweep() {
        // each event had all open queries decided: the more a busy root held, the further it fell behind
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(1, 1, 1);
        var rig = new PolicyHarness(site).workers(1);
        rig.query(0, 0);
        rig.endAttempt("q0/0", 0, "leaf0", AttemptEndReason.CONNECT_FAILED, 1);
        assertEquals("out of reach for now", 1, rig.actions("assign").size());
        rig.policy.onWorkerList(rig.now, WorkerListKind.CHANGES, List.of(
                new WorkerListEntry("other", 0, 0, 0, WorkerStatus.UP, 1, Absent.VALUE)));
        rig.policy.onRoundEnd(rig.now);
        assertEquals(1, rig.actions("assign").size());
        rig.advance(20 * MS);
        assertEquals("sent by the sweep", 2, rig.actions("assign").size());
    }

    @Test
    public void whatIsGoneIsForgotten() {
        // on a day in service new workers replace the old ones all the time
        var fleet = new WorkerTable(new ShardLayout(12, 12, 2));
        for (int i = 0; i < 100; i++) {
            fleet.update(entry(i, WorkerStatus.UP), LongRunningServiceTest::leaf);
            fleet.update(entry(i, WorkerStatus.REMOVED), LongRunningServiceTest::leaf);
        }
        fleet.update(entry(7, WorkerStatus.UP), LongRunningServiceTest::leaf);
        fleet.retainOnly(List.of(entry(8, WorkerStatus.UP)));
        assertEquals(0, fleet.workers().size());
        assertTrue(fleet.byTag(GossipMessage.workerTag("w7")).isEmpty());
        State.TrackedWorker busy = fleet.update(entry(9, WorkerStatus.UP), LongRunningServiceTest::leaf);
        busy.inFlight.add(new State.TrackedAttempt(null, busy, 0, 0, 0, 0));
        fleet.update(entry(9, WorkerStatus.REMOVED), LongRunningServiceTest::leaf);
        assertEquals("until nothing is out there", 1, fleet.workers().size());
        busy.inFlight.clear();
        fleet.removeIfUnused(busy);
        assertEquals(0, fleet.workers().size());
    }

    private static WorkerListEntry entry(int i, WorkerStatus state) {
        return new WorkerListEntry("w" + i, 0, 0, i % 12, state, 1, Absent.VALUE);
    }

    private static State.TrackedWorker leaf(String id) {
        return new State.TrackedWorker(id, 0.1, 1, 1e6);
    }
}
