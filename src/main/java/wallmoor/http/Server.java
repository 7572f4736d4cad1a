package wallmoor.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ClosedChannelException;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import wallmoor.threads.Threads;

/**
 * An HTTP/1.1 server. One thread watches the connections and collects their bytes; a blocking thread of a pool handles
 * and answers a complete request. A client that stops sending or reading delays only its own connection.
 */
public final class Server {
    /** Handles requests, each on a thread of the pool. */
    public interface Handler {
        /** Answers a request by a single call of {@link HttpExchange#answer}. */
        void handle(HttpMessage request, HttpExchange exchange)
                throws IOException, HttpProtocolException, InterruptedException;
    }

    /** The idle timeout while idle connections are kept; longer than any hand-over. */
    private static final long KEPT_IDLE_MILLIS = 60_000;
    private static final int WATCH_INTERVAL_MILLIS = 100;
    /** The pause between two attempts to evict a connection. */
    private static final long EVICTION_RETRY_MILLIS = 5;
    /** Threads beyond the limit, as some have answered but are not released yet when the next request arrives. */
    private static final int SPARE_THREADS = 8;
    /** The maximum duration of a write, after which the connection is closed. */
    private static final long MAX_WRITE_MILLIS = 5_000;

    /** One in this many bytes of the heap is for requests that this server is receiving. */
    private static final int BUFFERED_HEAP_DIVISOR = 8;
    /** One in this many bytes of the heap is for requests that this server is handling. */
    private static final int HANDLED_HEAP_DIVISOR = 8;
    /** The part of a request, in bytes, that is received however little memory is left. */
    private static final int MAX_UNPAUSED_BYTES = 8 * 1024;
    /** A request that is being handled is held as received, as read, and as the text and the bytes of its query. */
    private static final int COPIES_OF_HANDLED_REQUEST = 4;

    private final String name;
    private final ConnectionAcceptor acceptor;
    /** The maximum number of connections on which a request is served or was the last that happened. */
    private volatile int maxConnections;
    /** The maximum number of open connections, whatever their clients have sent. */
    private volatile int maxOpenConnections;
    private final ConnectionTimeouts timeouts;
    private final Handler handler;
    private final Consumer<String> log;
    private final ThreadPoolExecutor requestThreads;
    /** Connections with a part of a large request that are not read for lack of memory. */
    private final Queue<Connection> pausedConnections = new ConcurrentLinkedQueue<>();
    /** Connections with a complete request for which no thread or no memory was free. */
    private final Queue<Connection> waitingConnections = new ConcurrentLinkedQueue<>();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionsInUse = new AtomicInteger();
    /** The memory of requests that are being received or wait for a thread. */
    private final ByteQuota bufferedBytes = new ByteQuota(heapBytes() / BUFFERED_HEAP_DIVISOR);
    /** The memory of requests that are being handled. */
    private final ByteQuota handledBytes = new ByteQuota(heapBytes() / HANDLED_HEAP_DIVISOR);
    private volatile boolean closingAfterAnswers;
    /** Whether idle connections are kept open, with a longer timeout. */
    private volatile boolean keepsIdleConnections;
    /** Whether connections may still be accepted from the listening socket's queue. */
    private volatile boolean accepting;

    /**
     * Creates a server with the timeouts {@link ConnectionTimeouts#SHORT}; {@link #start} begins to serve.
     *
     * @param listen         the address to listen on, or null to accept no connections
     * @param maxConnections the maximum number of open connections
     * @param maxRequests    the maximum number of requests handled at the same time
     * @param log            receives a line for each failure of a connection or request
     */
    public Server(String name, InetSocketAddress listen, int maxConnections, int maxRequests, Handler handler,
            Consumer<String> log) throws IOException {
        this(name, listen, maxConnections, maxRequests, ConnectionTimeouts.SHORT, handler, log);
    }

    /** Creates a server with other timeouts. */
    public Server(String name, InetSocketAddress listen, int maxConnections, int maxRequests,
            ConnectionTimeouts timeouts, Handler handler, Consumer<String> log) throws IOException {
        this(name, ConnectionAcceptor.at(listen), maxConnections, maxRequests, timeouts, handler, log);
    }

    /** Creates a server that accepts its connections from an acceptor. */
    public Server(String name, ConnectionAcceptor acceptor, int maxConnections, int maxRequests,
            ConnectionTimeouts timeouts,
            Handler handler, Consumer<String> log) {
        this.name = name;
        this.acceptor = acceptor;
        this.timeouts = timeouts;
        this.maxConnections = maxConnections;
        this.maxOpenConnections = maxConnections;
        this.handler = handler;
        this.log = log;
        requestThreads = Threads.pool(name + "-query", maxRequests + SPARE_THREADS);
    }

    /** Serves a connection that was not accepted, with its own reading thread; used by rehearsals. */
    public void serve(Socket client) throws IOException {
        var output = new SocketConnection(client);
        var connection = new Connection(this, output);
        connections.add(connection);
        Threads.start(name + "-client", () -> output.read(connection));
    }

    /** Starts to accept connections. */
    public void start() {
        try {
            var selector = new ConnectionSelector(name, log);
            accepting = true;
            Threads.startEssential(name + "-accept", () -> accept(selector));
            Threads.startEssential(name + "-watch", this::closeExpired);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a selector for connections: raise the limit on open files", e);
        }
    }

    /**
     * Keeps idle connections open from now on: new clients no longer connect to this server, and existing ones send on
     * their connections. Closing one now would cost its client a request instead of a handshake.
     */
    public void keepIdleConnections() {
        keepsIdleConnections = true;
    }

    /** Closes each connection after its next answer, with {@code Connection: close}. */
    public void closeAfterAnswers() {
        closingAfterAnswers = true;
    }

    /** Stops accepting connections; existing ones are still served. */
    public void stopAccepting() throws IOException {
        acceptor.stop();
    }

    /**
     * Sets the maximum numbers of connections; surplus ones stay open until they are idle or evicted.
     *
     * @param limit     the maximum number of connections on which a request is served or was the last that happened
     * @param openLimit the maximum number of open connections, at least as many: those on which no request is complete
     *                  yet need neither a thread nor much memory
     */
    public void setMaxConnections(int limit, int openLimit) {
        maxConnections = limit;
        maxOpenConnections = Math.max(limit, openLimit);
    }

    /**
     * Accepts only the connections that are already queued, closes idle connections gracefully, and waits until all
     * connections have ended. Requests that are still being handled when the time is up are waited for until their
     * answers are written, because the process ends afterwards and would take them along.
     *
     * @param millis the maximum time to wait for connections on which no request is being handled
     */
    public void finish(long millis) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long latestAnswer = deadline + TimeUnit.MILLISECONDS.toNanos(MAX_WRITE_MILLIS);
        acceptor.stop();
        while ((accepting || !connections.isEmpty()) && System.nanoTime() < (isHandling() ? latestAnswer : deadline)) {
            connections.forEach(c -> c.halfCloseIdle(0));
            connections.forEach(c -> c.halfCloseIf(ConnectionState.NEW, timeouts.evictSilent()));
            connections.forEach(c -> c.closeIf(ConnectionState.CLOSING, Connection.LINGER_MILLIS));
            Thread.sleep(20);
        }
    }

    private boolean isHandling() {
        return connections.stream().anyMatch(Connection::isHandling);
    }

    private void accept(ConnectionSelector selector) {
        while (accepting) {
            Connection connection = null;
            try {
                ConnectionSelector.ChannelOutput output = selector.output(acceptor.accept());
                connection = new Connection(this, output);
                awaitSpace();
                connections.add(connection);
                output.startReading(connection);
            } catch (ClosedChannelException e) {
                accepting = false;
            } catch (IOException | OutOfMemoryError e) {
                if (connection != null) {
                    connection.close();
                }
                log.accept("cannot accept connection: server=" + name + " error=" + e);
                pause(5);
            }
        }
    }

    /**
     * Evicts connections until there is space for another one. While none may be evicted, the accepting thread waits,
     * and new connections remain in the accept queue.
     */
    private void awaitSpace() {
        while (connections.size() >= maxOpenConnections) {
            evictOne(EnumSet.allOf(ConnectionState.class));
        }
        while (connectionsInUse.get() >= maxConnections) {
            evictOne(EnumSet.of(ConnectionState.IDLE_UNUSED, ConnectionState.IDLE));
        }
    }

    /** Evicts the connection that {@link Eviction} chooses among those in some states, or pauses if there is none. */
    private void evictOne(Set<ConnectionState> candidates) {
        var oldest = new EnumMap<ConnectionState, Connection>(ConnectionState.class);
        for (Connection c : connections) {
            if (candidates.contains(c.state())) {
                oldest.merge(c.state(), c, (a, b) -> a.stateSince() <= b.stateSince() ? a : b);
            }
        }
        long now = System.nanoTime();
        var ages = new Eviction.OldestMillis(ageMillis(oldest, ConnectionState.CLOSING, now),
                ageMillis(oldest, ConnectionState.IDLE_UNUSED, now),
                ageMillis(oldest, ConnectionState.NEW, now), ageMillis(oldest, ConnectionState.IDLE, now),
                ageMillis(oldest, ConnectionState.FIRST_REQUEST, now),
                ageMillis(oldest, ConnectionState.LATER_REQUEST, now));
        ConnectionState victim = Eviction.choose(ages, timeouts);
        if (victim == null || !oldest.get(victim).closeIf(victim, 0)) {
            pause(EVICTION_RETRY_MILLIS);
        }
    }

    private static long ageMillis(EnumMap<ConnectionState, Connection> oldest, ConnectionState state, long now) {
        Connection c = oldest.get(state);
        return c == null ? -1 : TimeUnit.NANOSECONDS.toMillis(now - c.stateSince());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes connections whose timeouts have expired, so that no client is waited for without a limit. */
    private void closeExpired() {
        while (true) {
            int open = connections.size();
            long idleMillis = open <= maxConnections / 8 ? timeouts.idleLowLoad()
                    : open <= maxConnections / 4 ? timeouts.idle() : timeouts.idleHighLoad();
            long now = System.nanoTime();
            connections.forEach(c -> c.closeExpired(now, MAX_WRITE_MILLIS,
                    keepsIdleConnections ? KEPT_IDLE_MILLIS : idleMillis));
            serveWaiting();
            refuseStalledRequests();
            resumePaused();
            try {
                Thread.sleep(WATCH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- for the connections ------------------------------------------------------------------------------

    ConnectionTimeouts timeouts() {
        return timeouts;
    }

    /** Counts the connections in use. */
    void onStateChange(ConnectionState previous, ConnectionState next) {
        connectionsInUse.addAndGet((next.isInUse() ? 1 : 0) - (previous.isInUse() ? 1 : 0));
    }

    /** Counts the memory of requests being received. */
    void onBufferedBytes(int change) {
        bufferedBytes.add(change);
    }

    /**
     * Returns whether a connection is not to be read for now: it holds a part of a large request while those being
     * received hold too much memory. It is read again once there is memory. If even those paused hold as much again,
     * its request is refused. Small requests are never held up.
     */
    boolean pausesReading(Connection connection) {
        if (!bufferedBytes.isExceeded() || connection.bufferedBytes() <= MAX_UNPAUSED_BYTES) {
            return false;
        }
        if (bufferedBytes.isExceededTwice()) {
            connection.refuseIncompleteRequest(0);
        } else {
            pausedConnections.add(connection);
        }
        return true;
    }

    /** Reads paused connections again, those that waited longest first, as far as there is memory for their bytes. */
    private void resumePaused() {
        long freeBytes = bufferedBytes.freeBytes();
        while (freeBytes > 0) {
            Connection paused = pausedConnections.poll();
            if (paused == null) {
                return;
            }
            paused.resumeReading();
            freeBytes -= IncomingBytes.MAX_UNREAD_BYTES;
        }
    }

    /**
     * Refuses large requests that have been incomplete for long while others are paused, so that requests sent at once
     * get the memory of those whose clients have stopped.
     */
    private void refuseStalledRequests() {
        for (Connection c : connections) {
            if (!bufferedBytes.isExceeded()) {
                return;
            }
            if (c.bufferedBytes() > MAX_UNPAUSED_BYTES) {
                c.refuseIncompleteRequest(timeouts.firstRequest() / 2);
            }
        }
    }

    private static long heapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    /**
     * Serves a connection on a thread of the pool: now, or as soon as a thread and the memory for its request are free.
     * Returns false if there is no memory for a thread.
     */
    boolean startServing(Connection connection) {
        long bytes = handledBytes(connection);
        if (!handledBytes.tryTake(bytes)) {
            waitingConnections.add(connection);
            return true;
        }
        try {
            requestThreads.execute(() -> serveWithWaiting(connection, bytes));
            return true;
        } catch (RejectedExecutionException e) {
            handledBytes.giveBack(bytes);
            waitingConnections.add(connection);
            return true;
        } catch (OutOfMemoryError e) {
            handledBytes.giveBack(bytes);
            return false;
        }
    }

    private static long handledBytes(Connection connection) {
        return (long) COPIES_OF_HANDLED_REQUEST * connection.requestBytes();
    }

    /** Serves a connection, then waiting ones whose requests fit into the memory that it gave back. */
    private void serveWithWaiting(Connection connection, long bytes) {
        connection.serve();
        handledBytes.giveBack(bytes);
        resumePaused();
        for (Connection waiting : List.copyOf(waitingConnections)) {
            long waitingBytes = handledBytes(waiting);
            if (handledBytes.tryTake(waitingBytes)) {
                if (waitingConnections.remove(waiting)) {
                    waiting.serve();
                }
                handledBytes.giveBack(waitingBytes);
            }
        }
    }

    /** Serves a waiting connection if a thread is free, which missed it as it began to wait. */
    private void serveWaiting() {
        Connection waiting = waitingConnections.poll();
        if (waiting != null && !startServing(waiting)) {
            waitingConnections.add(waiting);
        }
    }

    void remove(Connection connection) {
        connections.remove(connection);
    }

    void connectionFailed(Throwable e) {
        log.accept("connection failed: server=" + name + " error=" + e);
    }

    boolean isClosingAfterAnswers() {
        return closingAfterAnswers;
    }

    Handler handler() {
        return handler;
    }

    void requestFailed(Exception e) {
        log.accept("request failed: server=" + name + " error=" + e);
    }
}
