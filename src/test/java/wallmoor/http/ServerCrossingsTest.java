package wallmoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * Tests a server on loopback whose handler is blocked while clients disconnect, pipeline requests, wait in the accept
 * queue, or while the server shuts down.
 */
public class ServerCrossingsTest {
    private static final long WAIT_SECONDS = 15;

    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final CountDownLatch released = new CountDownLatch(1);
    /** Targets of requests whose handling has begun, after "gone " if the client had already disconnected. */
    private final BlockingQueue<String> startedTargets = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> disconnectedTargets = new LinkedBlockingQueue<>();
    private final AtomicLong heldStartedAt = new AtomicLong();
    private final AtomicLong nextFirstByteAt = new AtomicLong();
    private Server server;
    private int port;

    private void start(int maxConnections) throws Exception {
        port = Ports.free();
        server = new Server("test", new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), maxConnections, 8,
                this::handle, line -> {});
        server.start();
    }

    /** Answers a request; one for /held only once the test releases it, and not if its client disconnects before. */
    private void handle(HttpMessage request, HttpExchange exchange) throws IOException, InterruptedException {
        String target = request.target();
        if (target.equals("/held")) {
            heldStartedAt.set(System.nanoTime()); // before the test, which waits for the target, reads it
        }
        startedTargets.add((exchange.hasClientDisconnected() ? "gone " : "") + target);
        if (target.equals("/held")) {
            var disconnected = new CountDownLatch(1);
            exchange.whenClientDisconnects(() -> {
                disconnectedTargets.add(target);
                disconnected.countDown();
            });
            while (!released.await(1, TimeUnit.MILLISECONDS) && disconnected.getCount() > 0) {
                // blocked until then
            }
            if (disconnected.getCount() == 0) {
                return;
            }
        } else {
            nextFirstByteAt.set(request.firstByteAt());
        }
        exchange.answer(200, "", target.getBytes(StandardCharsets.ISO_8859_1));
    }

    @After
    public void stop() throws Exception {
        released.countDown();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        server.finish(1_000);
    }

    private Socket client() throws IOException {
        var client = new Socket("127.0.0.1", port);
        client.setTcpNoDelay(true);
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        closeables.add(client);
        return client;
    }

    private static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n";
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String take(BlockingQueue<String> from) throws InterruptedException {
        return from.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static String status(Socket client) throws IOException {
        var line = new StringBuilder();
        for (int c = client.getInputStream().read(); c >= 0 && c != '\n'; c = client.getInputStream().read()) {
            line.append((char) c);
        }
        return line.toString().trim();
    }

    /** Requests /held, sends more bytes, and closes: asserts that the disconnect is detected. */
    private void assertDisconnectDetected(String more) throws Exception {
        start(8);
        try (Socket client = client()) {
            send(client, get("/held"));
            assertEquals("/held", take(startedTargets));
            send(client, more);
        }
        assertEquals("/held", take(disconnectedTargets));
    }

    @Test
    public void detectsCloseAfterIncompletePipelinedRequest() throws Exception {
        assertDisconnectDetected("POST /api HT");
    }

    @Test
    public void detectsCloseWithinPipelinedBody() throws Exception {
        assertDisconnectDetected("POST /api HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"shards\":[");
    }

    @Test
    public void detectsCloseAfterMoreThanMaxUnreadBytes() throws Exception {
        assertDisconnectDetected(get("/more").repeat(20_000));
        server.finish(WAIT_SECONDS * 1_000);
        assertEquals("no pipelined request is started", 0, startedTargets.size());
    }

    @Test
    public void doesNotStartPipelinedRequestOfDisconnectedClient() throws Exception {
        assertDisconnectDetected(get("/next"));
        server.finish(WAIT_SECONDS * 1_000);
        assertEquals(0, startedTargets.size());
    }

    @Test
    public void answersPipelinedRequestsUpToLimitAndThenClosesGracefully() throws Exception {
        start(8);
        Socket client = client();
        String next = get("/next");
        int requestCount = 4 * IncomingBytes.MAX_UNREAD_BYTES / next.length();
        send(client, get("/held") + next.repeat(requestCount));
        assertEquals("/held", take(startedTargets));
        released.countDown();
        byte[] all = client.getInputStream().readAllBytes(); // until a clean end: no answer is lost by a reset
        int answers = new String(all, StandardCharsets.ISO_8859_1).split("HTTP/1.1 200", -1).length - 1;
        assertEquals("each started request is answered", startedTargets.size() + 1, answers);
        assertTrue(answers + " answers", answers > IncomingBytes.MAX_UNREAD_BYTES / next.length());
    }

    @Test
    public void countsTimeOfPipelinedRequestFromItsArrival() throws Exception {
        start(8);
        Socket client = client();
        send(client, get("/held") + get("/next"));
        assertEquals("/held", take(startedTargets));
        long heldAt = heldStartedAt.get();
        released.countDown();
        assertEquals("/next", take(startedTargets));
        assertEquals("HTTP/1.1 200 OK", status(client));
        assertTrue("it arrived with the previous request", nextFirstByteAt.get() - heldAt <= 0);
    }

    @Test
    public void closesIdleConnectionWithoutResetWhileClientStillSends() throws Exception {
        Socket client = startAndRequest("/one");
        assertEquals("HTTP/1.1 200 OK", status(client));
        Thread finishing = startFinishing(WAIT_SECONDS * 1_000);
        client.getInputStream().readAllBytes(); // the rest of the answer, until the end of the stream
        for (int i = 0; i < 10; i++) { // the second write to a closed socket would fail
            send(client, get("/late"));
            Thread.sleep(5);
        }
        assertEquals(-1, client.getInputStream().read());
        client.close();
        finishing.join();
        assertEquals("no request is started after the shutdown", 0, startedTargets.size());
    }

    /** Guards against an answer that is lost because the process ends while its request is still being handled. */
    @Test
    public void finishWaitsForRequestsBeingHandledBeyondItsTime() throws Exception {
        Socket client = startAndRequest("/held");
        Thread finishing = startFinishing(100);
        finishing.join(400);
        assertTrue("a request is being handled", finishing.isAlive());
        released.countDown();
        finishing.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        assertFalse("all requests are answered", finishing.isAlive());
        assertEquals("HTTP/1.1 200 OK", status(client));
    }

    /** Starts a server and returns a client whose request for this target it has begun to handle. */
    private Socket startAndRequest(String target) throws Exception {
        start(8);
        Socket client = client();
        send(client, get(target));
        assertEquals(target, take(startedTargets));
        return client;
    }

    /** Starts a thread that finishes the server. */
    private Thread startFinishing(long millis) {
        var thread = new Thread(() -> {
            try {
                server.finish(millis);
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        thread.start();
        return thread;
    }

    @Test
    public void answersQueuedConnectionsDuringShutdown() throws Exception {
        start(1);
        Socket first = client();
        send(first, get("/held"));
        assertEquals("/held", take(startedTargets));
        var waiting = new ArrayList<Socket>();
        for (int i = 0; i < 5; i++) {
            waiting.add(client());
            send(waiting.get(i), get("/wait" + i));
        }
        Thread finishing = startFinishing(WAIT_SECONDS * 1_000);
        while (finishing.getState() != Thread.State.TIMED_WAITING) { // it sleeps once it has stopped accepting
            assertTrue("the shutdown is in progress", finishing.isAlive());
            Thread.sleep(1);
        }
        released.countDown();
        assertEquals("HTTP/1.1 200 OK", status(first));
        first.close();
        for (Socket client : waiting) {
            assertEquals("HTTP/1.1 200 OK", status(client));
            client.close();
        }
        finishing.join();
    }
}
