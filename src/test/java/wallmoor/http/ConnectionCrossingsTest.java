package wallmoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.Test;

/**
 * Tests races between received bytes and the server's close of a connection, in both orders: one side is blocked within
 * its step, and the other has to wait for it.
 */
public class ConnectionCrossingsTest {
    private static final byte[] REQUEST = "GET /one HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final long WAIT_SECONDS = 15;
    /** The time in which something that must not happen would happen. */
    private static final long SETTLE_MILLIS = 100;

    /** The calls to the connection's output and channel, in order. */
    private final List<String> events = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger handled = new AtomicInteger();
    private final AtomicInteger disconnectedBefore = new AtomicInteger();
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final Server server;
    private final Connection connection;

    public ConnectionCrossingsTest() throws IOException {
        server = new Server("test", ConnectionAcceptor.at(null), 4, 4, ConnectionTimeouts.SHORT,
                (request, exchange) -> {
                    handled.incrementAndGet();
                    disconnectedBefore.addAndGet(exchange.hasClientDisconnected() ? 1 : 0);
                    exchange.answer(200, "", new byte[0]);
                }, line -> events.add("failed " + line));
        connection = new Connection(server, new RecordingOutput());
    }

    /** An output that records its calls, and blocks in {@code shutdownOutput} if {@code blockedEvent} says so. */
    private final class RecordingOutput implements ConnectionOutput {
        @Override
        public void write(byte[] bytes) {
            events.add("answer");
        }

        @Override
        public boolean offer(byte[] bytes) {
            events.add("offer");
            return true;
        }

        @Override
        public void shutdownOutput() {
            recordEvent("shutdown");
        }

        @Override
        public void resume() {}

        @Override
        public void close() {
            events.add("close");
        }
    }

    private String blockedEvent = "";

    /** Records an event; waits before that if it is the one to block. */
    private void recordEvent(String event) {
        if (event.equals(blockedEvent)) {
            blocked.countDown();
            await(released);
        }
        events.add(event);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue("in time", latch.await(WAIT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** A channel with one request, which blocks its reader if {@code blockedEvent} says so. */
    private ReadableByteChannel channel() {
        return new ReadableByteChannel() {
            @Override
            public int read(ByteBuffer to) {
                recordEvent("read");
                to.put(REQUEST);
                return REQUEST.length;
            }

            @Override
            public boolean isOpen() {
                return true;
            }

            @Override
            public void close() {}
        };
    }

    private void readRequest() {
        try {
            connection.readFrom(channel(), ByteBuffer.allocate(1024));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Thread start(Runnable work) {
        var thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits until a thread is blocked on a lock or has ended. */
    private static void awaitBlockedOrEnded(Thread thread) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (thread.getState() != Thread.State.BLOCKED && thread.getState() != Thread.State.TERMINATED) {
            assertTrue("in time", System.nanoTime() < deadline);
            Thread.sleep(1);
        }
    }

    private void awaitState(ConnectionState expected) throws InterruptedException {
        await("in time " + expected, () -> connection.state() == expected);
    }

    private void awaitAnswer() throws InterruptedException {
        await("answered in time", () -> events.contains("answer"));
    }

    private static void await(String message, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(message, System.nanoTime() < deadline);
            Thread.sleep(1);
        }
    }

    private void becomeIdle() throws InterruptedException {
        connection.onReceived(ByteBuffer.wrap(REQUEST));
        awaitState(ConnectionState.IDLE);
        events.clear();
        handled.set(0);
    }

    /** Runs both sides of a race: blocks the first within its step until the second waits for it. */
    private void race(String step, Runnable first, Runnable second) throws InterruptedException {
        blockedEvent = step;
        Thread blockedThread = start(first);
        await(blocked);
        Thread waitingThread = start(second);
        awaitBlockedOrEnded(waitingThread);
        released.countDown();
        blockedThread.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        waitingThread.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
    }

    @Test
    public void discardsBytesReadAfterIdleConnectionIsClosed() throws Exception {
        becomeIdle();
        race("shutdown", () -> connection.halfCloseIdle(0), this::readRequest);
        assertEquals(List.of("shutdown", "read"), events);
        assertEquals(ConnectionState.CLOSING, connection.state());
        assertEquals("no request is started", 0, handled.get());
    }

    @Test
    public void answersRequestReadBeforeIdleConnectionIsClosed() throws Exception {
        becomeIdle();
        race("read", this::readRequest, () -> connection.halfCloseIdle(0));
        awaitAnswer();
        assertEquals("it may be closed once it is idle again", List.of("read", "answer"), events.subList(0, 2));
        assertEquals(1, handled.get());
    }

    @Test
    public void discardsBytesReadAfterNewConnectionIsClosed() throws Exception {
        race("shutdown", () -> connection.halfCloseIf(ConnectionState.NEW, 0), this::readRequest);
        assertEquals(List.of("shutdown", "read"), events);
        assertEquals(0, handled.get());
    }

    @Test
    public void answersFirstRequestReadBeforeSilentConnectionIsEvicted() throws Exception {
        var evicted = new AtomicInteger();
        race("read", this::readRequest, () -> evicted.addAndGet(connection.closeIf(ConnectionState.NEW, 0) ? 1 : 0));
        awaitState(ConnectionState.IDLE);
        assertEquals(0, evicted.get());
        assertEquals(List.of("read", "answer"), events);
    }

    @Test
    public void reportsDisconnectToHandlerIfClientClosesBeforeRequestIsHandled() throws Exception {
        connection.onReceived(ByteBuffer.wrap(REQUEST, 0, 5)); // the reader waits for the rest
        var rest = new ReadableByteChannel() {
            @Override
            public int read(ByteBuffer to) { // under the lock that the reader needs: it sees both events or none
                connection.onReceived(ByteBuffer.wrap(REQUEST, 5, REQUEST.length - 5));
                connection.onInputEnd();
                return 0;
            }

            @Override
            public boolean isOpen() {
                return true;
            }

            @Override
            public void close() {}
        };
        connection.readFrom(rest, ByteBuffer.allocate(1));
        awaitState(ConnectionState.CLOSED);
        assertEquals(1, handled.get());
        assertEquals(1, disconnectedBefore.get());
    }

    @Test
    public void offersRetryToClientEvictedWithIncompleteRequest() throws InterruptedException {
        connection.onReceived(ByteBuffer.wrap("POST /api HT".getBytes(StandardCharsets.ISO_8859_1)));
        assertEquals(ConnectionState.FIRST_REQUEST, connection.state());
        assertTrue(connection.closeIf(ConnectionState.FIRST_REQUEST, 0));
        assertEquals(List.of("offer", "close"), events);
        assertFalse(connection.closeIf(ConnectionState.FIRST_REQUEST, 0));
        connection.onReceived(ByteBuffer.wrap("TP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
        Thread.sleep(SETTLE_MILLIS);
        assertEquals("the rest of the request is discarded", List.of("offer", "close"), events);
        assertEquals(0, handled.get());
    }

    /** Guards against half of a later request that keeps a thread, and its connection from being evicted. */
    @Test
    public void offersRetryToClientEvictedWithIncompleteLaterRequest() throws InterruptedException {
        becomeIdle();
        connection.onReceived(ByteBuffer.wrap("POST /api HT".getBytes(StandardCharsets.ISO_8859_1)));
        assertEquals(ConnectionState.LATER_REQUEST, connection.state());
        assertTrue(connection.closeIf(ConnectionState.LATER_REQUEST, 0));
        assertEquals(List.of("offer", "close"), events);
    }

    @Test
    public void answersIncompleteRequestsOnceTheirTimeIsUp() throws InterruptedException {
        connection.onReceived(ByteBuffer.wrap("POST /api HT".getBytes(StandardCharsets.ISO_8859_1)));
        long now = System.nanoTime();
        long firstMillis = ConnectionTimeouts.SHORT.firstRequest();
        connection.closeExpired(now + TimeUnit.MILLISECONDS.toNanos(firstMillis - 1_000), 5_000, 5_000);
        assertEquals(ConnectionState.FIRST_REQUEST, connection.state());
        connection.closeExpired(now + TimeUnit.MILLISECONDS.toNanos(firstMillis), 5_000, 5_000);
        assertEquals(ConnectionState.CLOSING, connection.state());
        assertEquals(List.of("offer", "shutdown"), events);
    }

    @Test
    public void servesRequestThatArrivesByteByByteAndPipelinedOnes() throws InterruptedException {
        for (byte b : REQUEST) {
            assertEquals(0, handled.get());
            connection.onReceived(ByteBuffer.wrap(new byte[] {b}));
        }
        awaitState(ConnectionState.IDLE);
        assertEquals(1, handled.get());
        byte[] twoAndAHalf = new byte[2 * REQUEST.length + 7];
        for (int i = 0; i < twoAndAHalf.length; i++) {
            twoAndAHalf[i] = REQUEST[i % REQUEST.length];
        }
        connection.onReceived(ByteBuffer.wrap(twoAndAHalf));
        awaitState(ConnectionState.LATER_REQUEST);
        assertEquals(3, handled.get());
        connection.onReceived(ByteBuffer.wrap(REQUEST, 7, REQUEST.length - 7));
        await("the last one is served", () -> handled.get() == 4);
    }
}
