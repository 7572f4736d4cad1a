package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.discovery.DiscoveryWatch;

/** Tests a change of discovery's address, as by a reload on SIGHUP, during a request to the old address. */
public class WatchMovesTest extends WatchFixture {
    private interface Stage {
        /** Brings a request to this stage and returns it. */
        ScriptedDiscovery.Call reach() throws Exception;
    }

    /**
     * Moves discovery while a request to the old address is at this stage. The new address gets a request immediately,
     * and what the old one sends after that is ignored. Moving back gives the old address a new request.
     */
    private void assertMovesDuring(Stage stage) throws Exception {
        start("subscribe");
        ScriptedDiscovery old = discovery;
        ScriptedDiscovery other = startDiscovery();
        ScriptedDiscovery.Call abandoned = stage.reach();
        watch.reload(launch(other.port(), "subscribe"));
        var call = other.call(IMMEDIATE_MILLIS);
        assertNotNull("an immediate request", call);
        abandoned.tryChunk(changes(44, member("b", DRAINING)) + "\n"); // before the new address has answered
        assertEquals(LIST, call.target());
        call.answer(200, completeList(7, member("a", DRAINING), member("b", SERVING)));
        openWatch(call, 7);
        awaitDrained(a);
        abandoned.tryChunk(changes(44, member("b", DRAINING)) + "\n"); // after the new address has answered
        abandoned.awaitClosed();
        assertTrue(b.isServing());
        watch.reload(launch(old.port(), "subscribe"));
        var back = old.call(IMMEDIATE_MILLIS);
        assertNotNull("an immediate request", back);
        assertEquals(LIST, back.target());
        call.tryChunk(changes(8, member("b", DRAINING)) + "\n");
        back.answer(200, completeList(44, member("a", SERVING), member("b", SERVING)));
        Program.await("a serves by the list of the old address", a::isServing);
        assertTrue(b.isServing());
    }

    @Test
    public void movesBeforeTheResponse() throws Exception {
        assertMovesDuring(() -> {
            var call = discovery.call();
            call.target();
            return call;
        });
    }

    @Test
    public void movesWithinTheResponseHead() throws Exception {
        assertMovesDuring(() -> discovery.call().raw("HTTP/1.1 200 OK\r\nTransfer-En"));
    }

    @Test
    public void movesBeforeTheFirstObject() throws Exception {
        assertMovesDuring(() -> discovery.call().open());
    }

    @Test
    public void movesWithinAnObject() throws Exception {
        assertMovesDuring(
                () -> openWatch(discovery.call(), 41).chunk(changes(43, member("b", DRAINING)).substring(0, 70)));
    }

    /** The object of the old address is complete before the move; the list of the new address replaces it. */
    @Test
    public void movesAfterACompleteObject() throws Exception {
        assertMovesDuring(() -> {
            var call = openWatch(discovery.call(), 41).chunk(changes(43, member("b", DRAINING)));
            awaitDrained(b);
            return call;
        });
    }

    @Test
    public void movesBackDuringTheRequestToTheNewAddress() throws Exception {
        var first = openWatch();
        ScriptedDiscovery other = startDiscovery();
        watch.reload(launch(other.port(), "subscribe"));
        var call = other.call(IMMEDIATE_MILLIS);
        assertNotNull(call);
        assertEquals(LIST, call.target());
        watch.reload(launch(discovery.port(), "subscribe"));
        var back = discovery.call(IMMEDIATE_MILLIS);
        assertNotNull(back);
        assertEquals(LIST, back.target());
        call.answer(200, completeList(50, member("a", DRAINING), member("b", DRAINING)));
        first.tryChunk(changes(43, member("b", DRAINING)));
        back.answer(200, completeList(41, member("a", SERVING), member("b", SERVING)));
        openWatch(back, 41).chunk(changes(42, member("a", DRAINING)));
        awaitDrained(a);
        assertTrue(b.isServing());
    }

    @Test
    public void movesDuringAConnectThatNeverCompletes() throws Exception {
        discovery.close();
        try (var full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            var backlog = new ArrayList<Socket>();
            try {
                for (int i = 0; i < 2; i++) { // the full backlog makes the kernel drop further connects
                    backlog.add(new Socket("127.0.0.1", full.getLocalPort()));
                }
                ScriptedDiscovery other = startDiscovery();
                LaunchConfig old = launch(full.getLocalPort(), "subscribe");
                gatherer = new Gatherer(old.settings(), old.seed(), new MonotonicClock(), NOPLogger.NOP_LOGGER);
                watch = new DiscoveryWatch(old, gatherer);
                gatherer.control().start(List.of());
                watch.start(event -> {});
                Thread.sleep(300); // within the connect timeout of one second
                long begun = System.nanoTime();
                watch.reload(launch(other.port(), "subscribe"));
                var call = other.call(IMMEDIATE_MILLIS);
                assertNotNull("an immediate request", call);
                assertTrue("without waiting for the old connection",
                        System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(600));
                assertEquals(LIST, call.target());
            } finally {
                for (Socket socket : backlog) {
                    socket.close();
                }
            }
        }
    }
}
