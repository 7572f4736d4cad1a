package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import wallmoor.decision.RouterApi.Effect;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.RouterApi.ListKind;

/** What the module must not do on the days of service; each was seen on the bench. */
public class ServiceTest {
    private static final long MS = Rig.MS;

    /** One leaf that answered in 0.9 s when all was slow. */
    private static Rig afterAStall() {
        var site = new Rig.Site();
        site.layout = new RouterApi.Layout(12, 1, 1);
        site.classes = List.of(Rig.Site.all(Effect.SAFE));
        var rig = new Rig(site).leaves(1);
        rig.query(0, 0);
        rig.answerAll(900 * MS);
        rig.said.clear();
        return rig;
    }

    @Test
    public void afterAStallQueriesAreTakenAgain() {
        // all were refused on what leaves had once taken; with nothing sent, nothing better was ever heard
        Rig rig = afterAStall();
        rig.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("not now", 1, rig.said("refuse").size());
        rig.pass(7_000 * MS);
        rig.query(0, 0, 2, 4, 6, 8, 10);
        assertEquals("but later", 6, rig.said("assign").size());
    }

    @Test
    public void aLeafLeftOutComesBackWithoutAFailureElsewhere() {
        // one that had been slow was never asked again while another was at hand
        var site = new Rig.Site();
        site.layout = new RouterApi.Layout(1, 1, 1);
        var rig = new Rig(site);
        rig.list(new RouterApi.LeafEntry("one", 0, 0, 0, LeafState.UP, 1, RouterApi.ABSENT),
                new RouterApi.LeafEntry("two", 0, 0, 0, LeafState.UP, 1, RouterApi.ABSENT));
        String slow = null;
        for (int i = 0; i < 400; i++) {
            rig.said.clear();
            rig.query(0, 0);
            String leaf = rig.leafOf(0);
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
    public void aRootThatStoodStillBlamesNoLeafForIt() {
        // on part of a core a process stands still at times: answers lay unread, and all leaves were taken for ill
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        rig.query(0, 0, 3, 6);
        rig.pass(20 * MS);
        rig.said.clear();
        rig.now += 900 * MS;
        rig.brain.onTimer(rig.now, "sweep");
        rig.brain.onEndOfRound(rig.now);
        rig.pass(60 * MS);
        assertEquals(List.of(), rig.said("log"));
        rig.pass(900 * MS);
        assertTrue("a silent leaf is still found", rig.said("log").size() >= 3);
    }

    @Test
    public void coldLeavesAreNotStarvedByWhatLittleIsSent() {
        // where most leaves were cold, little was sent, and the less was sent the less a cold one was allowed
        var site = new Rig.Site();
        site.layout = new RouterApi.Layout(1, 1, 1);
        var rig = new Rig(site).leaves(1).warm(1);
        for (int i = 0; i < 40; i++) {
            rig.said.clear();
            rig.query(0, 0);
            rig.answerAll(40 * MS);
        }
        rig.pass(5_000 * MS);
        rig.said.clear();
        rig.brain.onList(rig.now, ListKind.CHANGES, List.of(Rig.leaf(0, LeafState.UP, rig.now - 1)));
        for (int i = 0; i < 5; i++) {
            rig.query(0, 0);
        }
        int sent = rig.said("assign").size();
        assertTrue("sent " + sent, sent >= 4);
    }

    @Test
    public void whatTouchesNoQueryIsLeftToTheSweep() {
        // each event had all open queries decided: the more a busy root held, the further it fell behind
        var site = new Rig.Site();
        site.layout = new RouterApi.Layout(1, 1, 1);
        var rig = new Rig(site).leaves(1);
        rig.query(0, 0);
        rig.ends("q0/0", 0, "leaf0", RouterApi.Outcome.CONNECT_FAILED, 1);
        assertEquals("out of reach for now", 1, rig.said("assign").size());
        rig.brain.onList(rig.now, ListKind.CHANGES, List.of(
                new RouterApi.LeafEntry("other", 0, 0, 0, LeafState.UP, 1, RouterApi.ABSENT)));
        rig.brain.onEndOfRound(rig.now);
        assertEquals(1, rig.said("assign").size());
        rig.pass(20 * MS);
        assertEquals("sent by the sweep", 2, rig.said("assign").size());
    }

    @Test
    public void whatIsGoneIsForgotten() {
        // on a day in service new workers replace the old ones all the time
        var fleet = new Fleet(new RouterApi.Layout(12, 12, 2));
        for (int i = 0; i < 100; i++) {
            fleet.enter(entry(i, LeafState.UP), ServiceTest::leaf);
            fleet.enter(entry(i, LeafState.REMOVED), ServiceTest::leaf);
        }
        fleet.enter(entry(7, LeafState.UP), ServiceTest::leaf);
        fleet.keepOnly(List.of(entry(8, LeafState.UP)));
        assertEquals(0, fleet.leaves().size());
        assertTrue(fleet.tagged(PeerMessage.tagOf("w7")).isEmpty());
        State.Leaf busy = fleet.enter(entry(9, LeafState.UP), ServiceTest::leaf);
        busy.out.add(new State.Attempt(null, busy, 0, 0, 0, 0));
        fleet.enter(entry(9, LeafState.REMOVED), ServiceTest::leaf);
        assertEquals("until nothing is out there", 1, fleet.leaves().size());
        busy.out.clear();
        fleet.forget(busy);
        assertEquals(0, fleet.leaves().size());
    }

    private static RouterApi.LeafEntry entry(int i, LeafState state) {
        return new RouterApi.LeafEntry("w" + i, 0, 0, i % 12, state, 1, RouterApi.ABSENT);
    }

    private static State.Leaf leaf(String id) {
        return new State.Leaf(id, 0.1, 1, 1e6);
    }
}
