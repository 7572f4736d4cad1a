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
import wallmoor.http.Connection.State;

/**
 * Serves HTTP/1.1: one thread watches the connections at rest, and a request is read, worked on and answered by one thread
 * of a pool, which blocks. A client that stops reading holds up its own only.
 */
public final class Server {
    /** What a front does with a request, on a thread of its own. */
    public interface Handler {
        /** Answers the request by one call of {@link Exchange#answer}. */
        void handle(Message request, Exchange exchange) throws IOException, HttpProblem, InterruptedException;
    }

    /**
     * How long connections are borne, in milliseconds.
     *
     * @param first    a connection's first request must be whole within this time of connecting
     * @param request  a later one within this time of its first byte
     * @param silent   one that has said nothing for so long has nothing to say
     * @param idle     between requests, where an eighth of the connections there may be are open
     * @param pressed  ... and where a quarter are
     * @param atEase   ... and where there are fewer
     * @param makeRoom at the cap a silent one makes room after so long
     * @param half     ... and one whose first request is not whole
     * @param rested   ... and one between requests, before a silent one
     * @param rests    ... and after a silent one
     */
    public record Patience(long first, int request, long silent, long idle, long pressed, long atEase, long makeRoom,
            long half, long rested, long rests) {
        /** With clients on the platform's network. */
        public static final Patience SHORT = new Patience(FIRST_MILLIS, REQUEST_MILLIS, SILENT_MILLIS, IDLE_MILLIS,
                IDLE_PRESSED_MILLIS, IDLE_AT_EASE_MILLIS, MAKE_ROOM_MILLIS, HALF_MILLIS, RESTED_MILLIS, RESTS_MILLIS);
        /** With devices on poor links, where a round trip may take seconds and a request come a packet at a time. */
        public static final Patience LONG = new Patience(30_000, 30_000, 30_000, 60_000, 20_000, 120_000, 5_000, 10_000,
                10_000, 2_000);
        /**
         * With operators on the gatherer's own network, a call a connection: who says nothing, or half a call, may take
         * 5 s over it, but makes room after a moment, so that a crowd of such costs another caller a fraction of a second.
         */
        public static final Patience OPERATORS = new Patience(5_000, 5_000, 5_000, 2_050, 700, 5_000, 50, 100, 250, 50);
    }

    /** A request that began to come in must be whole within this time. */
    private static final int REQUEST_MILLIS = 5_000;
    /** ... and a connection's first one within this time of connecting: rude clients hold back the rest for ever. */
    private static final long FIRST_MILLIS = 2_700;
    /** One that has said nothing for so long has nothing to say. */
    private static final long SILENT_MILLIS = 2_200;
    /**
     * Clients that asked once may keep their connections for good, and then have none left to ask again: so long between
     * requests, with more than a few connections open; less where they hold much of what they may ...
     */
    private static final long IDLE_MILLIS = 2_050;
    private static final long IDLE_PRESSED_MILLIS = 700;
    /** ... and with few, so long. */
    private static final long IDLE_AT_EASE_MILLIS = 15_000;
    /** At the cap a silent connection makes room after so long: an honest client's request is there by then. */
    private static final long MAKE_ROOM_MILLIS = 400;
    /** ... and one whose first request is still not whole after so long; both are floods of rude clients' then. */
    private static final long HALF_MILLIS = 700;
    /** Longer than any hand-over. */
    private static final long STAYING_MILLIS = 60_000;
    private static final int TIDY_EVERY_MILLIS = 100;
    /** Between two looks at who may make room. */
    private static final long ROOM_MILLIS = 5;
    /** Threads that have answered and are not yet back when their connection's next request comes. */
    private static final int LATE_THREADS = 8;
    /**
     * At the cap one that rested for so long makes room before a silent one: its client connects again only with its next
     * request, a silent one at once ...
     */
    private static final long RESTED_MILLIS = 250;
    /** ... and after all silent ones this long: some round trips, so that hardly a request crosses the close. */
    private static final long RESTS_MILLIS = 50;
    /** A client that takes nothing of its answer for so long is given up. */
    private static final long WRITE_MILLIS = 5_000;

    private final String name;
    private final Listening listening;
    private volatile int mostConnections;
    private final Patience patience;
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
        this(name, listen, mostConnections, mostWork, Patience.SHORT, handler, log);
    }

    /** The same with more or less patience. */
    public Server(String name, InetSocketAddress listen, int mostConnections, int mostWork, Patience patience,
            Handler handler, Consumer<String> log) throws IOException {
        this(name, Listening.at(listen), mostConnections, mostWork, patience, handler, log);
    }

    /** Serves the connections that come from here. */
    public Server(String name, Listening listening, int mostConnections, int mostWork, Patience patience,
            Handler handler, Consumer<String> log) {
        this.name = name;
        this.listening = listening;
        this.patience = patience;
        this.mostConnections = mostConnections;
        this.handler = handler;
        this.log = log;
        work = Threads.pool(name + "-query", mostWork + LATE_THREADS);
    }

    /** Serves a connection that did not come by the address, with a thread that reads it: for a rehearsal. */
    public void serve(Socket client) throws IOException {
        var wire = new SocketWire(client);
        var connection = new Connection(this, wire);
        connections.add(connection);
        Threads.start(name + "-client", () -> wire.read(connection));
    }

    /** Begins to take connections. */
    public void start() {
        try {
            var rest = new Rest(name, log);
            accepting = true;
            Threads.start(name + "-accept", () -> accept(rest));
            Threads.start(name + "-watch", this::watch);
        } catch (IOException e) {
            throw new UncheckedIOException("connections can't be watched: raise the limit of open files", e);
        }
    }

    /**
     * From now on connections between requests stay for as long as they may: nobody connects here any more, and whoever has
     * a connection sends on it. One that is closed now costs its client that request, not a handshake.
     */
    public void stay() {
        staying = true;
    }

    /** From now on each answer asks its client to leave, so that idle connections run dry. */
    public void leave() {
        leaving = true;
    }

    /** Takes no more connections; those that there are go on. */
    public void stopAccepting() throws IOException {
        listening.stop();
    }

    /** From now on it holds so many connections at most; more that there are may stay until they rest. */
    public void limit(int most) {
        mostConnections = most;
    }

    /**
     * Takes no more connections but those that wait already, ends idle ones gracefully, and waits for the answers to those
     * at work.
     */
    public void finish(long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        listening.stop();
        while ((accepting || !connections.isEmpty()) && System.nanoTime() < until) {
            connections.forEach(c -> c.halfCloseIdle(0));
            connections.forEach(c -> c.halfCloseIf(State.NEW, patience.makeRoom()));
            connections.forEach(c -> c.closeIf(State.CLOSING, Connection.LINGER_MILLIS));
            Thread.sleep(20);
        }
    }

    private void accept(Rest rest) {
        while (accepting) {
            Connection connection = null;
            try {
                Rest.Over over = rest.over(listening.accept());
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

    /** At the cap one is evicted, as {@link Eviction} says; with none such the accepting thread waits, and connects queue. */
    private void makeRoom() {
        var oldest = new EnumMap<State, Connection>(State.class);
        for (Connection c : connections) {
            oldest.merge(c.state(), c, (a, b) -> a.since() <= b.since() ? a : b);
        }
        long now = System.nanoTime();
        var ages = new Eviction.OldestMillis(age(oldest, State.CLOSING, now), age(oldest, State.IDLE_UNUSED, now),
                age(oldest, State.NEW, now), age(oldest, State.IDLE, now), age(oldest, State.FIRST_REQUEST, now));
        State victim = Eviction.choose(ages, patience);
        if (victim == null || !oldest.get(victim).closeIf(victim, 0)) {
            pause(ROOM_MILLIS);
        }
    }

    private static long age(EnumMap<State, Connection> oldest, State state, long now) {
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
            long idle = held <= mostConnections / 8 ? patience.atEase()
                    : held <= mostConnections / 4 ? patience.idle() : patience.pressed();
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

    Patience patience() {
        return patience;
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

    void failed(Throwable e) {
        log.accept(name + " connection failed: " + e);
    }

    Exchange exchange(Connection connection, Message request) {
        return new Exchange(connection, request);
    }

    /** One request and the one answer to it. */
    public final class Exchange {
        private final Connection connection;
        private final boolean withBody;
        private volatile boolean keep;
        private boolean work = true;
        private boolean answered;
        private boolean gone;
        private boolean over;
        private Runnable onGone;

        Exchange(Connection connection, Message request) {
            this.connection = connection;
            this.withBody = request == null || !request.method().equals("HEAD");
            this.keep = request != null && request.keep() && !leaving;
        }

        static byte[] plain(String text) {
            return (text + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }

        /** Has the front answer; whether the connection may carry another request. */
        boolean work(Message request) {
            try {
                handler.handle(request, this);
            } catch (HttpProblem e) {
                failed(e.status(), e.getMessage());
            } catch (IOException e) {
                keep = false;
            } catch (RuntimeException | InterruptedException e) {
                log.accept(name + " request failed: " + e);
                failed(500, "internal error");
            }
            synchronized (this) {
                over = true;
                keep &= answered; // whatever went wrong, the client is not left waiting
            }
            return keep;
        }

        private void failed(int status, String why) {
            try {
                answer(status, "", plain(why));
            } catch (IOException e) {
                keep = false;
            }
        }

        /** Writes the answer; a second one is a fault of the caller's. */
        public void answer(int status, String headers, byte[] body) throws IOException {
            synchronized (this) {
                if (answered) {
                    throw new IllegalStateException("answered twice");
                }
                answered = true;
            }
            keep &= !leaving;
            try {
                connection.write(HttpOut.bytes(status, headers, body, withBody, keep));
            } catch (IOException e) {
                keep = false;
                throw e;
            }
        }

        /** This request was no client's work: a look at whether this process is ready, or nothing that there is here. */
        public void aside() {
            work = false;
        }

        boolean wasWork() {
            return work;
        }

        /** Whether the client has left: nothing need be begun for it. */
        public synchronized boolean clientHasGone() {
            return gone;
        }

        /** Runs this once if the client leaves before the answer; at once if it has left. */
        public void whenGone(Runnable action) {
            synchronized (this) {
                if (!gone) {
                    onGone = action;
                    return;
                }
            }
            action.run();
        }

        void clientGone() {
            Runnable action;
            synchronized (this) {
                gone = true;
                action = over ? null : onGone;
                keep = false;
            }
            if (action != null) {
                action.run();
            }
        }
    }
}
