package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.Test;
import wallmoor.core.Worker;

/** Tests how the watch of the list splits its stream into objects, and how it handles unexpected objects. */
public class WatchCrossingsTest extends WatchFixture {
    // ---- framing of objects -------------------------------------------------------------------------------

    @Test
    public void acceptsAnIndentedObjectSplitAtAnyByte() throws Exception {
        var call = openWatch();
        String indented = changes(43, member("a", DRAINING)).replace(",", ",\r\n\n   ")
                .replace("[", "[\n").replace("]", "\n]");
        for (char c : ScriptedDiscovery.Call.chunkOf(indented.substring(0, 60)).toCharArray()) {
            call.raw("" + c); // one write for each character: most arrive in a segment of their own
        }
        call.chunk(indented.substring(60) + "\n" + changes(44, member("b", DRAINING)) + "\n");
        awaitDrained(a);
        awaitDrained(b);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void appliesAnObjectOnItsLastBracketWithoutALineEnd() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void appliesAnObjectWithoutALineEndWhenTheWatchEnds() throws Exception {
        var call = openWatch();
        call.raw(ScriptedDiscovery.Call.chunkOf(changes(43, member("a", DRAINING))) + "0\r\n\r\n");
        awaitDrained(a);
        assertEquals(watchTarget(43), discovery.call().target());
    }

    @Test
    public void acceptsACompleteListWithALengthAsTheAnswerToAWatch() throws Exception {
        start("subscribe");
        var call = discovery.call();
        call.target();
        call.answer(200, completeList(43, member("b", SERVING)));
        awaitDrained(a);
        var next = discovery.call(2_500);
        assertNotNull("the end of the response is not treated as a timeout", next);
        assertEquals(watchTarget(43), next.target());
    }

    @Test
    public void reconnectsWhenAnIncompleteObjectTrickles() throws Exception {
        var call = openWatch();
        String drain = changes(43, member("a", DRAINING));
        call.chunk(drain.substring(0, drain.indexOf("\"locality")));
        ScriptedDiscovery.Call next = null;
        long begun = System.nanoTime();
        while (next == null && System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(10)) {
            call.tryChunk("\n"); // within an object this is no heartbeat
            next = discovery.call(200);
        }
        assertNotNull("a new request", next);
        assertTrue("within 5 s", System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(5_000));
        assertEquals(watchTarget(41), next.target());
        next.open().chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
    }

    @Test
    public void requestsTheCompleteListAfterAnOversizedObject() throws Exception {
        var call = openWatch();
        String spaces = " ".repeat(60_000);
        call.chunk("{");
        for (int i = 0; i < 18; i++) {
            call.tryChunk(spaces);
        }
        var next = discovery.call();
        assertEquals(LIST, next.target());
        next.answer(200, completeList(43, member("b", SERVING)));
        awaitDrained(a);
        assertEquals(watchTarget(43), next.target());
    }

    // ---- contents of objects ------------------------------------------------------------------------------

    @Test
    public void requestsTheCompleteListAfterAMalformedObject() throws Exception {
        var call = openWatch();
        call.chunk("{\"revision\":43,\"complete\":false,\"members\":[" + member("a", DRAINING) + ",,]}\n");
        var next = discovery.call();
        assertEquals(LIST, next.target());
        next.answer(200, completeList(44, member("a", DRAINING), member("b", SERVING)));
        awaitDrained(a);
        openWatch(next, 44).chunk(changes(45, member("b", DRAINING)));
        awaitDrained(b);
    }

    @Test
    public void skipsInvalidMembersAndKeepsTheWatch() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, "null", "{\"id\":7}", "[]", "{\"phase\":\"SERVING\"}",
                "{\"id\":\"c\",\"up_since_ms\":1e300,\"cell\":-7}", member("a", DRAINING)) + "\n");
        awaitDrained(a);
        // a drain needs no address
        call.chunk("{\"revision\":44,\"members\":[{\"id\":\"b\",\"phase\":\"DRAINING\"}]}\n");
        awaitDrained(b);
        assertEquals("on the first watch", null, discovery.call(0));
    }

    @Test
    public void ignoresACompleteListWithoutMembersAndAppliesAnEmptyOne() throws Exception {
        var call = openWatch();
        call.chunk("{\"revision\":43,\"complete\":true}\n");
        var next = discovery.call();
        assertEquals(LIST, next.target());
        assertEquals("no worker is removed", 2, gatherer.control().workerCounts().known());
        assertTrue(a.isServing() && b.isServing());
        next.answer(200, completeList(43)); // workers that a complete list does not name are removed
        awaitListed(0);
        assertFalse(a.isServing() || b.isServing());
        openWatch(next, 43).chunk(completeList(44, member("a", SERVING)));
        awaitListed(1);
    }

    @Test
    public void keepsTheRevisionAfterAnObjectWithoutOne() throws Exception {
        var call = openWatch();
        call.chunk("{\"members\":[" + member("a", DRAINING) + "]}\n");
        awaitDrained(a);
        call.end();
        assertEquals(watchTarget(41), discovery.call().target());
    }

    @Test
    public void appliesTheLastOfDuplicateMembers() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, member("a", SERVING), member("a", DRAINING), member("b", DRAINING), member("b", SERVING),
                member("b", DRAINING)));
        awaitDrained(a);
        awaitDrained(b);
        call.chunk(changes(44, member("a", "DELETED"), member("a", SERVING),
                member("b", SERVING), member("b", "DELETED")));
        awaitListed(1);
        assertEquals("a", assignedWorker(0).id());
        assertFalse(b.isServing());
    }

    @Test
    public void appliesOnlyDrainsOfAnOlderRevisionAndRequestsTheCompleteList() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        call.chunk(changes(42, member("a", SERVING), member("b", DRAINING)));
        awaitDrained(b);
        var next = discovery.call();
        assertEquals("a request for the complete list", LIST, next.target());
        assertFalse(a.isServing());
        next.answer(200, completeList(42, member("a", SERVING), member("b", DRAINING)));
        Program.await("a serves by the complete list", a::isServing);
        assertEquals(watchTarget(42), next.target());
    }

    @Test
    public void appliesACompleteListOfAnOlderRevision() throws Exception {
        var call = openWatch();
        call.chunk(completeList(5, member("b", SERVING))); // a restarted discovery counts revisions from the start
        awaitListed(1);
        assertFalse(a.isServing());
        call.end();
        assertEquals(watchTarget(5), discovery.call().target());
    }

    @Test
    public void treatsAWorkerThatReturnsAtAnotherAddressAsNew() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
        call.chunk(completeList(44, member("b", SERVING)));
        awaitListed(1);
        Worker removed = a;
        long now = System.currentTimeMillis();
        call.chunk(changes(45, member("a", SERVING, 7001, now - 60_000))); // after its slow start
        awaitListed(2);
        a = assignedWorker(0);
        assertNotSame(removed, a);
        assertEquals("127.0.0.1:7001", a.address());
        assertFalse("waiting parts must not be sent to the old address", removed.isServing());
        call.chunk(changes(46, member("b", SERVING, 7002, now))); // just started, without having left the list
        Program.await("the new address", () -> b.address().equals("127.0.0.1:7002"));
        assertTrue(b.isServing());
    }

    @Test
    public void servesAgainOnlyWhenBothDrainAndBanEnd() throws Exception {
        var call = openWatch();
        gatherer.control().setBanned("a", true);
        assertFalse(a.isServing());
        call.chunk(changes(43, member("a", DRAINING), member("b", DRAINING)));
        awaitDrained(b);
        gatherer.control().setBanned("a", false);
        assertFalse("the list still drains it", a.isServing());
        gatherer.control().setBanned("b", true);
        call.chunk(changes(44, member("a", SERVING), member("b", SERVING)));
        Program.await("a serves", a::isServing);
        assertFalse("an operator banned it", b.isServing());
        gatherer.control().setBanned("b", false);
        assertTrue(b.isServing());
    }
}
