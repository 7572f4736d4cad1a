package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.endpoints.WatchEvent;
import wallmoor.sources.EndpointUpdater;

/**
 * What happens to the list's watch where two events cross, over loopback: discovery does what the test says, when it
 * says so, and holds each call until then. Workers a and b hold a cell each and are known from the start.
 */
public class WatchCrossingsTest {
    private static final String LIST = "/api/targets";
    private static final String SERVING = "SERVING";
    private static final String DRAINING = "DRAINING";
    /** Asked at once, on a slow machine. */
    private static final long AT_ONCE_MILLIS = 1_500;
    /** From call to call where calls fail. */
    private static final long PERIOD_MILLIS = 2_500;
    private static final long SLACK_MILLIS = 500;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<Thread> before = new HashSet<>(Thread.getAllStackTraces().keySet());
    private final AtomicInteger queries = new AtomicInteger();
    private ScriptedDiscovery discovery;
    private Gatherer gatherer;
    private DiscoveryWatch watch;
    private Thread timers;
    private Worker a;
    private Worker b;

    @Before
    public void begin() throws Exception {
        discovery = scripted();
    }

    @After
    public void end() throws Exception {
        // the watch asks for ever: it must not come upon another test's discovery
        Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals("discovery") && !before.contains(t)).forEach(Thread::interrupt);
        for (AutoCloseable o : open) {
            o.close();
        }
        if (timers != null) {
            timers.interrupt();
        }
    }

    private ScriptedDiscovery scripted() throws IOException {
        var made = new ScriptedDiscovery();
        open.add(made);
        return made;
    }

    private static LaunchConfig launch(int port, String way) throws IOException {
        Path file = Files.createTempFile("wallmoor", ".json");
        file.toFile().deleteOnExit();
        String known = member("a", SERVING) + "," + member("b", SERVING);
        Files.writeString(file, Program.config("t", Program.SEED, 1, port, known, 64)
                .replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"" + way + "\""));
        return LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString()));
    }

    private static String member(String id, String phase) {
        return member(id, phase, 7000, 0);
    }

    private static String member(String id, String phase, int port, long upSince) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"east\","
                + "\"flavor\":\"k\",\"cell\":" + (id.equals("a") ? 0 : 1) + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + upSince + "}";
    }

    private static String changes(int revision, String... members) {
        return object(revision, false, members);
    }

    private static String whole(int revision, String... members) {
        return object(revision, true, members);
    }

    private static String object(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", members) + "]}";
    }

    private static String from(int revision) {
        return LIST + "?stream=1&index=" + revision;
    }

    /** Starts the gatherer; its first call is to be taken from the discovery. */
    private void start(String way) throws Exception {
        LaunchConfig launch = launch(discovery.port(), way);
        var clock = new MonotonicClock();
        gatherer = new Gatherer(launch.settings(), launch.seed(), clock, line -> {});
        watch = new DiscoveryWatch(launch, gatherer);
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        var list = new SourcePolicy("list", true, 0, 1, 1000);
        new EndpointUpdater(RegistryPolicy.of(List.of(list)), clock, gatherer, List.of(watch)).start();
        a = assigned(0);
        b = assigned(1);
        assertTrue(a.id().equals("a") && b.id().equals("b") && a.isServing() && b.isServing());
    }

    /** A watch that has been opened and has spoken. */
    private ScriptedDiscovery.Call watched() throws Exception {
        start("subscribe");
        return opened(discovery.call(), 41);
    }

    private static ScriptedDiscovery.Call opened(ScriptedDiscovery.Call call, int revision) throws IOException {
        assertEquals(from(revision), call.target());
        return call.open().chunk("\n");
    }

    /** Who is given a part of this shard now; null for nobody. */
    private Worker assigned(int shard) throws InterruptedException {
        Query query = gatherer.open("q" + queries.incrementAndGet(), 1, gatherer.now() + 300_000, false,
                List.of(new Query.PartRequest(shard, 1, -1)), null);
        Step step = gatherer.awaitStep(query);
        gatherer.clientDisconnected(query);
        return step instanceof Step.Send send ? send.worker() : null;
    }

    private static void awaitDrained(Worker worker) throws InterruptedException {
        Program.await("the drain of " + worker.id(), () -> !worker.isServing());
    }

    private void awaitListed(int count) throws InterruptedException {
        Program.await(count + " nodes listed", () -> gatherer.workerCounts().known() == count);
    }

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
        assertEquals("nobody is gone by that", 2, gatherer.workerCounts().known());
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
        gatherer.setBanned("a", true);
        assertFalse(a.isServing());
        call.chunk(changes(43, member("a", DRAINING), member("b", DRAINING)));
        awaitDrained(b);
        gatherer.setBanned("a", false);
        assertFalse("the list drains it still", a.isServing());
        gatherer.setBanned("b", true);
        call.chunk(changes(44, member("a", SERVING), member("b", SERVING)));
        Program.await("a serves", a::isServing);
        assertFalse("an operator took it out", b.isServing());
        gatherer.setBanned("b", false);
        assertTrue(b.isServing());
    }

    // ---- the end of a watch -------------------------------------------------------------------------------

    @Test
    public void aWatchEndsInPlaceOfTellingAndTheNextCallGetsTheWholeList() throws Exception {
        var call = watched();
        call.end();
        var next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().end(); // again
        next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().chunk(whole(43, member("b", SERVING)) + "\n");
        awaitDrained(a);
        awaitListed(1);
    }

    /** Whether the reset comes before the object was read or after: it is taken, or asked for again. */
    @Test
    public void aResetCrossesADrain() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", DRAINING)));
        call.reset();
        var next = discovery.call();
        if (next.target().equals(from(43))) {
            assertFalse(a.isServing());
            next.open();
        } else {
            next.open().chunk(changes(43, member("a", DRAINING)));
            awaitDrained(a);
        }
        next.reset(); // and one before it
        next = discovery.call();
        assertEquals(from(43), next.target());
        next.open().chunk(changes(44, member("b", DRAINING)));
        awaitDrained(b);
    }

    /** What could not be taken in is asked for again. */
    @Test
    public void aRevisionIsHeldOnlyOnceItsNewsWasTakenIn() throws Exception {
        LaunchConfig launch = launch(discovery.port(), "subscribe");
        gatherer = new Gatherer(launch.settings(), launch.seed(), new MonotonicClock(), line -> {});
        watch = new DiscoveryWatch(launch, gatherer);
        var fails = new AtomicInteger(1);
        var taken = new ArrayList<WatchEvent>();
        gatherer.start(List.of());
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        watch.start(news -> {
            if (news instanceof WatchEvent.SourceFailure) {
                throw new IllegalStateException("as well");
            }
            if (news instanceof WatchEvent.EndpointDelta && fails.getAndDecrement() > 0) {
                throw new IllegalStateException("a fault of the program's own");
            }
            synchronized (taken) {
                taken.add(news);
            }
        });
        opened(discovery.call(), 41).chunk(changes(43, member("a", DRAINING)));
        var next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().chunk(changes(43, member("a", DRAINING)));
        Program.await("the news", () -> {
            synchronized (taken) {
                return taken.stream().anyMatch(n -> n instanceof WatchEvent.EndpointDelta);
            }
        });
    }

    // ---- calls that fail ----------------------------------------------------------------------------------

    @Test
    public void theListIsAskedForAtOnceAtTheStartAndSoonAgain() throws Exception {
        for (String way : List.of("subscribe", "automatic")) {
            start(way);
            var call = discovery.call(AT_ONCE_MILLIS);
            assertNotNull("asked at once", call);
            call.target();
            call.answer(503, "");
            assertNotNull("and soon again", discovery.call(AT_ONCE_MILLIS));
            end();
            begin();
        }
    }

    /** However many calls have failed: the next comes within 2.5 s, so that 6 s are kept. */
    @Test
    public void afterManyRefusalsTheNextCallComesWithinItsPeriod() throws Exception {
        start("subscribe");
        var call = refusedFor(7, discovery);
        opened(call, 41).chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
    }

    /** A watch ends, discovery moves, and the new one refuses: the same period holds there. */
    @Test
    public void afterAMoveRefusalsAreFollowedWithinTheirPeriod() throws Exception {
        watched().end();
        ScriptedDiscovery other = scripted();
        watch.reload(launch(other.port(), "subscribe"));
        var call = refusedFor(6, other);
        assertEquals(LIST, call.target());
        call.answer(200, whole(43, member("b", SERVING)));
        awaitDrained(a);
    }

    /** Refuses so many calls, each of which must come in time; the next one after them. */
    private static ScriptedDiscovery.Call refusedFor(int calls, ScriptedDiscovery by) throws Exception {
        var call = by.call();
        for (int i = 0; i < calls; i++) {
            call.target();
            call.answer(503, "");
            var next = by.call();
            long millis = TimeUnit.NANOSECONDS.toMillis(next.at - call.at);
            assertTrue("call " + i + " after " + millis + " ms", millis <= PERIOD_MILLIS + SLACK_MILLIS);
            call = next;
        }
        return call;
    }

    // ---- SIGHUP moves discovery ---------------------------------------------------------------------------

    private interface Stage {
        ScriptedDiscovery.Call reach() throws Exception;
    }

    /**
     * Moves discovery while a call to the old one stands at a stage. The new one is asked at once; what the old one
     * then says is not taken; and moved back, the old one is asked anew.
     */
    private void movesAt(Stage stage) throws Exception {
        start("subscribe");
        ScriptedDiscovery old = discovery;
        ScriptedDiscovery other = scripted();
        ScriptedDiscovery.Call left = stage.reach();
        watch.reload(launch(other.port(), "subscribe"));
        var call = other.call(AT_ONCE_MILLIS);
        assertNotNull("asked at once", call);
        left.chunkInVain(changes(44, member("b", DRAINING)) + "\n"); // while the new one has said nothing yet
        assertEquals(LIST, call.target());
        call.answer(200, whole(7, member("a", DRAINING), member("b", SERVING)));
        opened(call, 7);
        awaitDrained(a);
        left.chunkInVain(changes(44, member("b", DRAINING)) + "\n"); // and after
        left.awaitLeft();
        assertTrue(b.isServing());
        watch.reload(launch(old.port(), "subscribe"));
        var back = old.call(AT_ONCE_MILLIS);
        assertNotNull("asked at once", back);
        assertEquals(LIST, back.target());
        call.chunkInVain(changes(8, member("b", DRAINING)) + "\n");
        back.answer(200, whole(44, member("a", SERVING), member("b", SERVING)));
        Program.await("the old one's list", a::isServing);
        assertTrue(b.isServing());
    }

    @Test
    public void discoveryMovesWhileARequestIsOut() throws Exception {
        movesAt(() -> {
            var call = discovery.call();
            call.target();
            return call;
        });
    }

    @Test
    public void discoveryMovesWithinTheHead() throws Exception {
        movesAt(() -> discovery.call().raw("HTTP/1.1 200 OK\r\nTransfer-En"));
    }

    @Test
    public void discoveryMovesBeforeTheFirstObject() throws Exception {
        movesAt(() -> discovery.call().open());
    }

    @Test
    public void discoveryMovesWithinAnObject() throws Exception {
        movesAt(() -> opened(discovery.call(), 41).chunk(changes(43, member("b", DRAINING)).substring(0, 70)));
    }

    /** The other order: the old one's object is whole before the move, and the new one's list goes over it. */
    @Test
    public void discoveryMovesAfterAnObject() throws Exception {
        movesAt(() -> {
            var call = opened(discovery.call(), 41).chunk(changes(43, member("b", DRAINING)));
            awaitDrained(b);
            return call;
        });
    }

    @Test
    public void discoveryMovesBackWhileTheCallToTheNewOneIsOut() throws Exception {
        var first = watched();
        ScriptedDiscovery other = scripted();
        watch.reload(launch(other.port(), "subscribe"));
        var call = other.call(AT_ONCE_MILLIS);
        assertNotNull(call);
        assertEquals(LIST, call.target());
        watch.reload(launch(discovery.port(), "subscribe"));
        var back = discovery.call(AT_ONCE_MILLIS);
        assertNotNull(back);
        assertEquals(LIST, back.target());
        call.answer(200, whole(50, member("a", DRAINING), member("b", DRAINING)));
        first.chunkInVain(changes(43, member("b", DRAINING)));
        back.answer(200, whole(41, member("a", SERVING), member("b", SERVING)));
        opened(back, 41).chunk(changes(42, member("a", DRAINING)));
        awaitDrained(a);
        assertTrue(b.isServing());
    }

    @Test
    public void discoveryMovesWhileAConnectionToTheOldOneDoesNotComeUp() throws Exception {
        discovery.close();
        try (var full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            var filling = new ArrayList<Socket>();
            try {
                for (int i = 0; i < 2; i++) { // nobody accepts: the kernel drops what else would connect
                    filling.add(new Socket("127.0.0.1", full.getLocalPort()));
                }
                ScriptedDiscovery other = scripted();
                LaunchConfig old = launch(full.getLocalPort(), "subscribe");
                gatherer = new Gatherer(old.settings(), old.seed(), new MonotonicClock(), line -> {});
                watch = new DiscoveryWatch(old, gatherer);
                gatherer.start(List.of());
                watch.start(news -> {});
                Thread.sleep(300); // within the second that a connection may take
                long begun = System.nanoTime();
                watch.reload(launch(other.port(), "subscribe"));
                var call = other.call(AT_ONCE_MILLIS);
                assertNotNull("asked at once", call);
                assertTrue("without waiting for the old one",
                        System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(600));
                assertEquals(LIST, call.target());
            } finally {
                for (Socket socket : filling) {
                    socket.close();
                }
            }
        }
    }
}
