package wallmoor.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ClosedChannelException;
import java.util.EnumMap;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wallmoor.http.Connection.ConnectionState;

/**
 * Serves HTTP/1.1: one thread watches the connections at rest, and a request is read, worked on and answered by one
 * thread of a pool, which blocks. A client that stops reading holds up its own only.
 */
public final class Server {
    /** What a front does with a request, on a thread of its own. */
    public interface Handler {
        /** Answers the request by one call of {@link HttpExchange#answer}. */
        void handle(HttpMessage request, HttpExchange exchange)
                throws IOException, HttpProtocolException, InterruptedException;
    }

    /** Longer than any hand-over. */
    private static final long STAYING_MILLIS = 60_000;
    private static final int TIDY_EVERY_MILLIS = 100;
    /** Between two looks at who may make room. */
    private static final long ROOM_MILLIS = 5;
    /** Threads that have answered and are not yet back when their connection's next request comes. */
    private static final int LATE_THREADS = 8;
    /** A client that takes nothing of its answer for so long is given up. */
    private static final long WRITE_MILLIS = 5_000;

    private final String name;
    private final ConnectionAcceptor listening;
    private volatile int mostConnections;
    private final ConnectionTimeouts timeouts;
    private final Handler handler;
    private final Consumer<String> log;
    private final ThreadPoolExecutor work;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean leaving;
    /** Connections at rest stay, however long they have rested. */
    private volatile boolean staying;
    /** Connections may still come out of the listening socket's queue. */
    private volatile boolean accepting;

    /** Listens, unless the address is null; {@link #start} begins to serve. */
    public Server(String name, InetSocketAddress listen, int mostConnections, int mostWork, Handler handler,
            Consumer<String> log) throws IOException {
        this(name, listen, mostConnections, mostWork, ConnectionTimeouts.SHORT, handler, log);
    }

    /** The same with other timeouts. */
    public Server(String name, InetSocketAddress listen, int mostConnections, int mostWork, ConnectionTimeouts timeouts,
            Handler handler, Consumer<String> log) throws IOException {
        this(name, ConnectionAcceptor.at(listen), mostConnections, mostWork, timeouts, handler, log);
    }

    /** Serves the connections that come from here. */
    public Server(String name, ConnectionAcceptor listening, int mostConnections, int mostWork,
            ConnectionTimeouts timeouts,
            Handler handler, Consumer<String> log) {
        this.name = name;
        this.listening = listening;
        this.timeouts = timeouts;
        this.mostConnections = mostConnections;
        this.handler = handler;
        this.log = log;
        work = Threads.pool(name + "-query", mostWork + LATE_THREADS);
    }

    /** Serves a connection that did not come by the address, with a thread that reads it: for a rehearsal. */
    public void serve(Socket client) throws IOException {
        var wire = new SocketConnection(client);
        var connection = new Connection(this, wire);
        connections.add(connection);
        Threads.start(name + "-client", () -> wire.read(connection));
    }

    /** Begins to take connections. */
    public void start() {
        try {
            var rest = new ConnectionSelector(name, log);
            accepting = true;
            Threads.start(name + "-accept", () -> accept(rest));
            Threads.start(name + "-watch", this::watch);
        } catch (IOException e) {
            throw new UncheckedIOException("connections can't be watched: raise the limit of open files", e);
        }
    }

    /**
     * From now on connections between requests stay for as long as they may: nobody connects here any more, and whoever
     * has a connection sends on it. One that is closed now costs its client that request, not a handshake.
     */
    public void keepIdleConnections() {
        staying = true;
    }

    /** From now on each answer asks its client to leave, so that idle connections run dry. */
    public void closeAfterAnswers() {
        leaving = true;
    }

    /** Takes no more connections; those that there are go on. */
    public void stopAccepting() throws IOException {
        listening.stop();
    }

    /** From now on it holds so many connections at most; more that there are may stay until they rest. */
    public void setMaxConnections(int most) {
        mostConnections = most;
    }

    /**
     * Takes no more connections but those that wait already, ends idle ones gracefully, and waits for the answers to
     * those at work.
     */
    public void finish(long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        listening.stop();
        while ((accepting || !connections.isEmpty()) && System.nanoTime() < until) {
            connections.forEach(c -> c.halfCloseIdle(0));
            connections.forEach(c -> c.halfCloseIf(ConnectionState.NEW, timeouts.evictSilent()));
            connections.forEach(c -> c.closeIf(ConnectionState.CLOSING, Connection.LINGER_MILLIS));
            Thread.sleep(20);
        }
    }

    private void accept(ConnectionSelector rest) {
        while (accepting) {
            Connection connection = null;
            try {
                ConnectionSelector.Over over = rest.over(listening.accept());
                connection = new Connection(this, over);
                while (connections.size() >= mostConnections) {
                    makeRoom();
                }
                connections.add(connection);
                over.begin(connection);
            } catch (ClosedChannelException e) {
                accepting = false;
            } catch (IOException | OutOfMemoryError e) {
                if (connection != null) {
                    connection.close();
                }
                log.accept(name + " cannot accept: " + e);
                pause(5);
            }
        }
    }

    /**
     * At the cap one is evicted, as {@link Eviction} says; with none such the accepting thread waits, and connects
     * queue.
     */
    private void makeRoom() {
        var oldest = new EnumMap<ConnectionState, Connection>(ConnectionState.class);
        for (Connection c : connections) {
            oldest.merge(c.state(), c, (a, b) -> a.since() <= b.since() ? a : b);
        }
        long now = System.nanoTime();
        var ages = new Eviction.OldestMillis(age(oldest, ConnectionState.CLOSING, now),
                age(oldest, ConnectionState.IDLE_UNUSED, now),
                age(oldest, ConnectionState.NEW, now), age(oldest, ConnectionState.IDLE, now),
                age(oldest, ConnectionState.FIRST_REQUEST, now));
        ConnectionState victim = Eviction.choose(ages, timeouts);
        if (victim == null || !oldest.get(victim).closeIf(victim, 0)) {
            pause(ROOM_MILLIS);
        }
    }

    private static long age(EnumMap<ConnectionState, Connection> oldest, ConnectionState state, long now) {
        Connection c = oldest.get(state);
        return c == null ? -1 : TimeUnit.NANOSECONDS.toMillis(now - c.since());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes what has had its time: nothing here waits for a client for ever. */
    private void watch() {
        while (true) {
            int held = connections.size();
            long idle = held <= mostConnections / 8 ? timeouts.idleAtEase()
                    : held <= mostConnections / 4 ? timeouts.idle() : timeouts.idlePressed();
            long now = System.nanoTime();
            connections.forEach(c -> c.tidy(now, WRITE_MILLIS, staying ? STAYING_MILLIS : idle));
            try {
                Thread.sleep(TIDY_EVERY_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- for its connections ------------------------------------------------------------------------------

    ConnectionTimeouts timeouts() {
        return timeouts;
    }

    /** A thread is to serve what has begun to come; false if there is none left. */
    boolean begin(Connection connection) {
        try {
            work.execute(connection::serve);
            return true;
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            return false;
        }
    }

    void forget(Connection connection) {
        connections.remove(connection);
    }

    void connectionFailed(Throwable e) {
        log.accept(name + " connection failed: " + e);
    }

    boolean leaving() {
        return leaving;
    }

    Handler handler() {
        return handler;
    }

    void requestFailed(Exception e) {
        log.accept(name + " request failed: " + e);
    }
}
