package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.Test;
import wallmoor.core.Worker;

/** What happens to the list's watch where two events cross. */
public class WatchCrossingsTest extends WatchFixture {
    // ---- where an object begins and ends ------------------------------------------------------------------

    @Test
    public void anIndentedDrainIsTakenHoweverItIsCut() throws Exception {
        var call = watched();
        String indented = changes(43, member("a", DRAINING)).replace(",", ",\r\n\n   ")
                .replace("[", "[\n").replace("]", "\n]");
        for (char c : ScriptedDiscovery.Call.chunkOf(indented.substring(0, 60)).toCharArray()) {
            call.raw("" + c); // each in a segment of its own, most likely
        }
        call.chunk(indented.substring(60) + "\n" + changes(44, member("b", DRAINING)) + "\n");
        awaitDrained(a);
        awaitDrained(b);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void aDrainCountsFromItsLastBracketOn() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void theWatchEndsRightAfterTheObjectWithoutALineEnd() throws Exception {
        var call = watched();
        call.raw(ScriptedDiscovery.Call.chunkOf(changes(43, member("a", DRAINING))) + "0\r\n\r\n");
        awaitDrained(a);
        assertEquals(from(43), discovery.call().target());
    }

    @Test
    public void aWatchIsAnsweredByTheWholeListWithALength() throws Exception {
        start("subscribe");
        var call = discovery.call();
        call.target();
        call.answer(200, whole(43, member("b", SERVING)));
        awaitDrained(a);
        var next = discovery.call(2_500);
        assertNotNull("its end is no silence", next);
        assertEquals(from(43), next.target());
    }

    @Test
    public void halfAnObjectThatTricklesIsASilence() throws Exception {
        var call = watched();
        String drain = changes(43, member("a", DRAINING));
        call.chunk(drain.substring(0, drain.indexOf("\"locality")));
        ScriptedDiscovery.Call next = null;
        long begun = System.nanoTime();
        while (next == null && System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(10)) {
            call.chunkInVain("\n"); // no heartbeat: the object goes on
            next = discovery.call(200);
        }
        assertNotNull("asked anew", next);
        assertTrue("in time", System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(5_000));
        assertEquals(from(41), next.target());
        next.open().chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
    }

    @Test
    public void anObjectOverTheBoundIsLeftForTheWholeList() throws Exception {
        var call = watched();
        String spaces = " ".repeat(60_000);
        call.chunk("{");
        for (int i = 0; i < 18; i++) {
            call.chunkInVain(spaces);
        }
        var next = discovery.call();
        assertEquals(LIST, next.target());
        next.answer(200, whole(43, member("b", SERVING)));
        awaitDrained(a);
        assertEquals(from(43), next.target());
    }

    // ---- what a list may say ------------------------------------------------------------------------------

    @Test
    public void aMalformedObjectIsMadeUpForByTheWholeList() throws Exception {
        var call = watched();
        call.chunk("{\"revision\":43,\"complete\":false,\"members\":[" + member("a", DRAINING) + ",,]}\n");
        var next = discovery.call();
        assertEquals(LIST, next.target());
        next.answer(200, whole(44, member("a", DRAINING), member("b", SERVING)));
        awaitDrained(a);
        opened(next, 44).chunk(changes(45, member("b", DRAINING)));
        awaitDrained(b);
    }

    @Test
    public void aBadMemberLosesNeitherTheOthersNorTheWatch() throws Exception {
        var call = watched();
        call.chunk(changes(43, "null", "{\"id\":7}", "[]", "{\"phase\":\"SERVING\"}",
                "{\"id\":\"c\",\"up_since_ms\":1e300,\"cell\":-7}", member("a", DRAINING)) + "\n");
        awaitDrained(a);
        // its drain needs no address
        call.chunk("{\"revision\":44,\"members\":[{\"id\":\"b\",\"phase\":\"DRAINING\"}]}\n");
        awaitDrained(b);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void aWholeListWithoutMembersIsNoneAndAnEmptyOneIsBelieved() throws Exception {
        var call = watched();
        call.chunk("{\"revision\":43,\"complete\":true}\n");
        var next = discovery.call();
        assertEquals(LIST, next.target());
        assertEquals("nobody is gone by that", 2, gatherer.control().workerCounts().known());
        assertTrue(a.isServing() && b.isServing());
        next.answer(200, whole(43)); // what a whole list doesn't name is gone
        awaitListed(0);
        assertFalse(a.isServing() || b.isServing());
        opened(next, 43).chunk(whole(44, member("a", SERVING)));
        awaitListed(1);
    }

    @Test
    public void anObjectWithoutARevisionKeepsTheOneHeld() throws Exception {
        var call = watched();
        call.chunk("{\"members\":[" + member("a", DRAINING) + "]}\n");
        awaitDrained(a);
        call.end();
        assertEquals(from(41), discovery.call().target());
    }

    @Test
    public void ofDuplicateEntriesTheLastCounts() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", SERVING), member("a", DRAINING), member("b", DRAINING), member("b", SERVING),
                member("b", DRAINING)));
        awaitDrained(a);
        awaitDrained(b);
        call.chunk(changes(44, member("a", "DELETED"), member("a", SERVING),
                member("b", SERVING), member("b", "DELETED")));
        awaitListed(1);
        assertEquals("a", assigned(0).id());
        assertFalse(b.isServing());
    }

    @Test
    public void changesOfAnOlderRevisionLetNobodyServeAgain() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        call.chunk(changes(42, member("a", SERVING), member("b", DRAINING)));
        awaitDrained(b);
        var next = discovery.call();
        assertEquals("the whole list says what holds", LIST, next.target());
        assertFalse(a.isServing());
        next.answer(200, whole(42, member("a", SERVING), member("b", DRAINING)));
        Program.await("the whole list", a::isServing);
        assertEquals(from(42), next.target());
    }

    @Test
    public void aWholeListOfAnOlderRevisionIsDiscoverysWord() throws Exception {
        var call = watched();
        call.chunk(whole(5, member("b", SERVING))); // it was started anew, and counts anew
        awaitListed(1);
        assertFalse(a.isServing());
        call.end();
        assertEquals(from(5), discovery.call().target());
    }

    @Test
    public void aWholeListLeavesOutADrainingWorkerWhichComesBackElsewhere() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        call.chunk(whole(44, member("b", SERVING)));
        awaitListed(1);
        Worker gone = a;
        long now = System.currentTimeMillis();
        call.chunk(changes(45, member("a", SERVING, 7001, now - 60_000))); // warm: the next query may go there
        awaitListed(2);
        a = assigned(0);
        assertNotSame(gone, a);
        assertEquals("127.0.0.1:7001", a.address());
        assertFalse("what waits for the old one must not go out", gone.isServing());
        call.chunk(changes(46, member("b", SERVING, 7002, now))); // cold, without having been away
        Program.await("the new address", () -> b.address().equals("127.0.0.1:7002"));
        assertTrue(b.isServing());
    }

    @Test
    public void aDrainAndABanTogether() throws Exception {
        var call = watched();
        gatherer.control().setBanned("a", true);
        assertFalse(a.isServing());
        call.chunk(changes(43, member("a", DRAINING), member("b", DRAINING)));
        awaitDrained(b);
        gatherer.control().setBanned("a", false);
        assertFalse("the list drains it still", a.isServing());
        gatherer.control().setBanned("b", true);
        call.chunk(changes(44, member("a", SERVING), member("b", SERVING)));
        Program.await("a serves", a::isServing);
        assertFalse("an operator took it out", b.isServing());
        gatherer.control().setBanned("b", false);
        assertTrue(b.isServing());
    }
}
