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

/** Discovery moves to another address, as a reload after SIGHUP has it, while a call to the old one is out. */
public class WatchMovesTest extends WatchFixture {
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
                gatherer = new Gatherer(old.settings(), old.seed(), new MonotonicClock(), NOPLogger.NOP_LOGGER);
                watch = new DiscoveryWatch(old, gatherer);
                gatherer.control().start(List.of());
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
