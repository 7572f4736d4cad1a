package wallmoor.http;

import static org.junit.Assert.assertEquals;
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
 * A server on loopback, its handler held at a barrier while clients leave, send on, wait in the queue or see it end.
 */
public class ServerCrossingsTest {
    private static final long WAIT_SECONDS = 15;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final CountDownLatch released = new CountDownLatch(1);
    /** Targets of requests whose handling began, with "gone " before those whose client had left by then. */
    private final BlockingQueue<String> begun = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> left = new LinkedBlockingQueue<>();
    private final AtomicLong heldAt = new AtomicLong();
    private final AtomicLong nextCameAt = new AtomicLong();
    private Server server;
    private int port;

    private void start(int mostConnections) throws Exception {
        port = Ports.free();
        server = new Server("test", new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), mostConnections, 8,
                this::handle, line -> {});
        server.start();
    }

    /** Answers, but what is asked for as /held only once the test lets it go or its client has left. */
    private void handle(HttpMessage request, HttpExchange exchange) throws IOException, InterruptedException {
        String target = request.target();
        begun.add((exchange.hasClientDisconnected() ? "gone " : "") + target);
        if (target.equals("/held")) {
            heldAt.set(System.nanoTime());
            var gone = new CountDownLatch(1);
            exchange.whenClientDisconnects(() -> {
                left.add(target);
                gone.countDown();
            });
            while (!released.await(1, TimeUnit.MILLISECONDS) && gone.getCount() > 0) {
                // held
            }
            if (gone.getCount() == 0) {
                return;
            }
        } else {
            nextCameAt.set(request.firstByteAt());
        }
        exchange.answer(200, "", target.getBytes(StandardCharsets.ISO_8859_1));
    }

    @After
    public void stop() throws Exception {
        released.countDown();
        for (AutoCloseable o : open) {
            o.close();
        }
        server.finish(1_000);
    }

    private Socket client() throws IOException {
        var client = new Socket("127.0.0.1", port);
        client.setTcpNoDelay(true);
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        open.add(client);
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

    /** A client that asked for what is held, sends this behind it and closes: it must be seen to have left. */
    private void leavesBehind(String more) throws Exception {
        start(8);
        try (Socket client = client()) {
            send(client, get("/held"));
            assertEquals("/held", take(begun));
            send(client, more);
        }
        assertEquals("/held", take(left));
    }

    @Test
    public void aCloseBehindHalfARequestIsSeenWhileTheOneBeforeIsAtWork() throws Exception {
        leavesBehind("POST /api HT");
    }

    @Test
    public void aCloseInTheMiddleOfThePipelinedBodyIsSeen() throws Exception {
        leavesBehind("POST /api HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"shards\":[");
    }

    @Test
    public void aCloseBehindMoreThanIsKeptUnreadIsSeen() throws Exception {
        leavesBehind(get("/more").repeat(20_000));
        server.finish(WAIT_SECONDS * 1_000);
        assertEquals("nothing is begun that came behind it", 0, begun.size());
    }

    @Test
    public void aWholeRequestBehindOneWhoseClientLeftIsNotBegun() throws Exception {
        leavesBehind(get("/next"));
        server.finish(WAIT_SECONDS * 1_000);
        assertEquals(0, begun.size());
    }

    @Test
    public void requestsPipelinedWithinTheBoundAreAllAnsweredAndTheConnectionEndsGracefullyBeyondIt() throws Exception {
        start(8);
        Socket client = client();
        String next = get("/next");
        int many = 4 * IncomingBytes.MOST / next.length();
        send(client, get("/held") + next.repeat(many));
        assertEquals("/held", take(begun));
        released.countDown();
        byte[] all = client.getInputStream().readAllBytes(); // up to a clean end: no reset takes an answer with it
        int answers = new String(all, StandardCharsets.ISO_8859_1).split("HTTP/1.1 200", -1).length - 1;
        assertEquals("each that was begun is answered", begun.size() + 1, answers);
        assertTrue(answers + " answers", answers > IncomingBytes.MOST / next.length());
    }

    @Test
    public void thePipelinedRequestsTimeCountsFromItsArrival() throws Exception {
        start(8);
        Socket client = client();
        send(client, get("/held") + get("/next"));
        assertEquals("/held", take(begun));
        long held = heldAt.get();
        released.countDown();
        assertEquals("/next", take(begun));
        assertEquals("HTTP/1.1 200 OK", status(client));
        assertTrue("it came with the one before", nextCameAt.get() - held <= 0);
    }

    @Test
    public void anIdleConnectionIsEndedWithoutAResetThoughItsClientSendsOn() throws Exception {
        start(8);
        Socket client = client();
        send(client, get("/one"));
        assertEquals("/one", take(begun));
        assertEquals("HTTP/1.1 200 OK", status(client));
        var finishing = new Thread(() -> finish(WAIT_SECONDS * 1_000));
        finishing.start();
        client.getInputStream().readAllBytes(); // the rest of the answer, then its end
        for (int i = 0; i < 10; i++) { // to a socket that was closed the second of these would fail
            send(client, get("/late"));
            Thread.sleep(5);
        }
        assertEquals(-1, client.getInputStream().read());
        client.close();
        finishing.join();
        assertEquals("nothing that came after the shutdown is begun", 0, begun.size());
    }

    private void finish(long millis) {
        try {
            server.finish(millis);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void connectionsThatWaitedInTheQueueAreAnsweredAtTheEnd() throws Exception {
        start(1);
        Socket first = client();
        send(first, get("/held"));
        assertEquals("/held", take(begun));
        var waiting = new ArrayList<Socket>();
        for (int i = 0; i < 5; i++) {
            waiting.add(client());
            send(waiting.get(i), get("/wait" + i));
        }
        var finishing = new Thread(() -> finish(WAIT_SECONDS * 1_000));
        finishing.start();
        while (finishing.getState() != Thread.State.TIMED_WAITING) { // it waits once it has stopped listening
            assertTrue("the end has begun", finishing.isAlive());
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
