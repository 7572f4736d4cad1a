package wallmoor.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Serves HTTP/1.1 on blocking sockets: a thread a connection reads, and while a request is at work it waits for the
 * client to leave; the work itself runs on a pool's thread. A client that stops reading holds up its own only.
 */
public final class Server {
    /** What a front does with a request, on a thread of its own. */
    public interface Handler {
        /** Answers the request by one call of {@link Exchange#answer}. */
        void handle(Message request, Exchange exchange) throws IOException, HttpProblem, InterruptedException;
    }

    private static final int BACKLOG = 256;
    private static final int BIND_TRIES = 20;
    /** A request that began to come in must be whole within this time. */
    private static final int REQUEST_MILLIS = 5_000;
    /** A client that takes nothing of its answer for so long is given up. */
    private static final long WRITE_MILLIS = 5_000;

    private final String name;
    private final ServerSocket socket;
    private final int mostConnections;
    private final Handler handler;
    private final Consumer<String> log;
    private final ThreadPoolExecutor work;
    private final AtomicLong numbers = new AtomicLong();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean leaving;

    /** Listens; {@link #start} begins to serve. */
    public Server(String name, InetSocketAddress listen, int mostConnections, int mostWork, Handler handler,
            Consumer<String> log) throws IOException {
        this.name = name;
        this.mostConnections = mostConnections;
        this.handler = handler;
        this.log = log;
        work = Threads.pool(name + "-query", mostWork);
        socket = new ServerSocket();
        socket.setReuseAddress(true);
        bind(listen);
    }

    /** A gatherer that was killed comes back at its address; what is left of the old one may hold it for a moment. */
    private void bind(InetSocketAddress listen) throws IOException {
        for (int tries = 1;; tries++) {
            try {
                socket.bind(listen, BACKLOG);
                return;
            } catch (java.net.BindException e) {
                if (tries == BIND_TRIES) {
                    throw e;
                }
                pause(100);
            }
        }
    }

    /** Begins to take connections. */
    public void start() {
        Threads.start(name + "-accept", this::accept);
        Threads.start(name + "-watch", this::watch);
    }

    /** From now on each answer asks its client to leave, so that idle connections run dry. */
    public void leave() {
        leaving = true;
    }

    /** Takes no more connections, closes idle ones, and waits for the answers to those at work. */
    public void finish(long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        socket.close();
        while (!connections.isEmpty() && System.nanoTime() < until) {
            connections.stream().filter(Connection::idle).forEach(Connection::close);
            Thread.sleep(20);
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                var connection = new Connection(client);
                if (connections.size() >= mostConnections) {
                    makeRoom();
                }
                connections.add(connection);
                Threads.start(name + "-client-" + numbers.incrementAndGet(), connection::run);
            } catch (IOException | OutOfMemoryError e) {
                if (!socket.isClosed()) {
                    log.accept(name + " cannot accept: " + e);
                    pause(5);
                }
            }
        }
    }

    /**
     * At the cap the connection idle for longest is closed; a client whose request crosses that sends it again. With
     * none idle the accepting thread waits, and connects queue in the kernel.
     */
    private void makeRoom() {
        while (connections.size() >= mostConnections && !socket.isClosed()) {
            connections.stream().filter(Connection::idle)
                    .min((a, b) -> Long.compare(a.idleSince, b.idleSince)).ifPresent(Connection::close);
            pause(5);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch() {
        while (true) {
            for (Connection c : connections) {
                long since = c.writingSince;
                if (since != 0 && System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(WRITE_MILLIS)) {
                    c.close();
                }
            }
            try {
                Thread.sleep(500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private final class Connection {
        private final Socket client;
        private volatile long writingSince;
        private volatile long idleSince = System.nanoTime();
        private volatile boolean busy;

        Connection(Socket client) {
            this.client = client;
        }

        boolean idle() {
            return !busy;
        }

        void close() {
            try {
                client.close();
            } catch (IOException e) {
                // it is closed as far as it can be
            }
        }

        /** An exception here ends this connection and no other. */
        void run() {
            try (client) {
                client.setTcpNoDelay(true);
                var in = new HttpIn(client);
                boolean keep = true;
                while (keep && in.await(0)) {
                    busy = true;
                    keep = serve(in);
                    idleSince = System.nanoTime();
                    busy = false;
                }
                if (!keep) {
                    linger(in);
                }
            } catch (IOException e) {
                // the client has gone
            } catch (RuntimeException | OutOfMemoryError e) {
                log.accept(name + " connection failed: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(this);
            }
        }

        private boolean serve(HttpIn in) throws IOException, InterruptedException {
            Exchange exchange;
            try {
                Message request = in.request(REQUEST_MILLIS);
                exchange = new Exchange(this, request);
                if (leaving) {
                    exchange.lastOne();
                }
                exchange.start(request);
            } catch (HttpProblem e) {
                new Exchange(this, null).answer(e.status(), "", Exchange.plain(e.getMessage()));
                return false;
            }
            boolean there = true;
            try {
                there = in.awaitBehind();
            } catch (IOException e) {
                there = false; // reset: gone as well
            }
            if (!there) {
                exchange.clientGone();
            }
            exchange.done.await();
            return there && exchange.keep;
        }

        /** Closing on bytes not yet read would reset the connection and could take the answer with it. */
        private void linger(HttpIn in) throws IOException {
            client.shutdownOutput();
            client.setSoTimeout(200);
            byte[] sink = new byte[512];
            try {
                for (int n = 0; n < 200 && client.getInputStream().read(sink) >= 0; n++) {
                    // thrown away
                }
            } catch (java.net.SocketTimeoutException e) {
                // long enough
            }
        }
    }

    /** One request and the one answer to it. */
    public final class Exchange {
        private final Connection connection;
        private final boolean withBody;
        private final CountDownLatch done = new CountDownLatch(1);
        private volatile boolean keep;
        private boolean answered;
        private boolean gone;
        private Runnable onGone;

        Exchange(Connection connection, Message request) {
            this.connection = connection;
            this.withBody = request == null || !request.method().equals("HEAD");
            this.keep = request != null && request.keep();
        }

        static byte[] plain(String text) {
            return (text + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }

        private void lastOne() {
            keep = false;
        }

        private void start(Message request) throws IOException {
            try {
                work.execute(() -> work(request));
            } catch (RejectedExecutionException | OutOfMemoryError e) {
                answer(503, "Retry-After: 1\r\n", plain("too much at work"));
                done.countDown();
            }
        }

        private void work(Message request) {
            try {
                handler.handle(request, this);
            } catch (HttpProblem e) {
                failed(e.status(), e.getMessage());
            } catch (IOException e) {
                keep = false;
            } catch (RuntimeException | InterruptedException e) {
                log.accept(name + " request failed: " + e);
                failed(500, "internal error");
            } finally {
                keep &= isAnswered(); // whatever went wrong, the client is not left waiting
                done.countDown();
            }
        }

        private void failed(int status, String why) {
            try {
                answer(status, "", plain(why));
            } catch (IOException e) {
                keep = false;
            }
        }

        private synchronized boolean isAnswered() {
            return answered;
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
            connection.writingSince = System.nanoTime();
            try {
                HttpOut.answer(connection.client.getOutputStream(), status, headers, body, withBody, keep);
            } catch (IOException e) {
                keep = false;
                throw e;
            } finally {
                connection.writingSince = 0;
            }
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

        private void clientGone() {
            Runnable action;
            synchronized (this) {
                gone = true;
                action = onGone;
                keep = false;
            }
            if (action != null && done.getCount() > 0) {
                action.run();
            }
        }
    }
}
