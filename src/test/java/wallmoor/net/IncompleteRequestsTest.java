package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * Guards against clients that stop in the middle of a request and hold all connections and threads, so that the
 * requests of other clients stay unread until their deadlines are over.
 */
public class IncompleteRequestsTest {
    /** The heap of a gatherer on the platform. */
    private static final int HEAP_MB = 48;
    private static final int BAD_CLIENTS = 200;
    private static final int LARGE_CLIENTS = 500;
    private static final int DEADLINE_MILLIS = 1_900;
    private static final long SOUND_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final String HALF_HEAD = "POST /api HTTP/1.1\r\nHost: h\r\nX-Requ";

    private final List<AutoCloseable> open = new ArrayList<>();
    private Process program;
    private int port;

    @After
    public void stop() throws Exception {
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
        if (program != null) {
            program.destroyForcibly().onExit().join();
        }
    }

    private void start(int memoryMb) throws Exception {
        var worker = new StandIn.Worker(id -> "ok");
        var discovery = new StandIn.Discovery();
        open.add(worker);
        open.add(discovery);
        port = Ports.free();
        String config = Program.config("t", Program.SEED, port, discovery.port(), worker.member("a", 0, "SERVING"),
                1024);
        program = Program.launch(config.replace("\"limits\":{", "\"limits\":{\"memory_mb\":" + memoryMb + ","), null,
                HEAP_MB);
        Program.awaitReady(port);
    }

    private void assertSoundClientsAreAnswered() throws IOException {
        long end = System.nanoTime() + SOUND_NANOS;
        for (int i = 0; System.nanoTime() < end; i++) {
            long sent = System.nanoTime();
            assertEquals(200, Client.post(port, "q" + i, "all", DEADLINE_MILLIS, 0).status);
            assertEquals("answered within its deadline, after ms", 0,
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent) - DEADLINE_MILLIS));
        }
    }

    /** Sends this text on each of many connections and leaves them open; others must be answered meanwhile. */
    private void assertOthersAreAnsweredWhileClientsStopAfter(String text) throws Exception {
        start(64);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            var client = new Client(port);
            open.add(client);
            client.send(text);
        }
        assertSoundClientsAreAnswered();
    }

    @Test
    public void answersOthersWhileClientsStopWithinFirstRequest() throws Exception {
        assertOthersAreAnsweredWhileClientsStopAfter(
                "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 65000\r\n\r\n" + "x".repeat(30_000));
    }

    @Test
    public void answersOthersWhileClientsStopWithinSecondRequest() throws Exception {
        assertOthersAreAnsweredWhileClientsStopAfter("GET /none HTTP/1.1\r\nHost: h\r\n\r\n" + HALF_HEAD);
    }

    /** Guards against parts of large requests that together fill the heap. */
    @Test
    public void answersOthersWhileClientsStopWithinRequestsOfTheLargestSize() throws Exception {
        start(192);
        String head = "POST /api HTTP/1.1\r\nHost: h\r\n" + ("X-Pad: " + "p".repeat(290) + "\r\n").repeat(50)
                + "Transfer-Encoding: chunked\r\n\r\n";
        String chunks = "1\r\nx\r\n".repeat(20_000); // 120 KB on the wire, 20 KB of a body
        Thread[] senders = new Thread[LARGE_CLIENTS];
        for (int i = 0; i < LARGE_CLIENTS; i++) {
            var client = new Client(port);
            open.add(client);
            senders[i] = new Thread(() -> {
                try {
                    client.send(head + chunks);
                } catch (IOException e) {
                    // refused before all was sent
                }
            });
            senders[i].setDaemon(true);
            senders[i].start();
        }
        assertSoundClientsAreAnswered();
        for (Thread sender : senders) {
            sender.join();
        }
        assertTrue("the program runs on", program.isAlive());
    }
}
