package wallmoor.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.WorkerTransport;
import wallmoor.http.ByteSlice;
import wallmoor.http.ConnectionAcceptor;
import wallmoor.http.ConnectionTimeouts;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.InheritedListener;
import wallmoor.http.Server;
import wallmoor.json.Json;
import wallmoor.queries.QueryBody;

/** The platform's front: queries by {@code POST /api}, readiness by {@code GET /-/ready}. */
public final class PlatformFront {
    private static final String QUERY_PATH = "/api";
    private static final String READY_PATH = "/-/ready";
    /** Time kept back from the client's deadline for the answer's way and a busy machine. */
    private static final long WIRE_MARGIN_MICROS = 10_000;

    /** The configuration of the start. */
    private final LaunchConfig launch;
    /** The configuration in force; a query keeps the one it was opened under. */
    private final Supplier<LaunchConfig> current;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final WorkerTransport workers;
    private final Logger log;
    private final Server server;
    private volatile boolean ready;
    /** When the program ends, on the clock: an answer after that would never go out. */
    private volatile long lastAnswerAt = Long.MAX_VALUE;

    /**
     * Makes the front and listens; nothing is answered before {@link #start}.
     *
     * @param current  the settings in force, asked for with each query
     * @param gatherer takes the queries
     * @param workers  where their parts go
     * @param log      where faults of connections and requests go
     */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            WorkerTransport workers, Logger log) throws IOException {
        this(launch, current, clock, gatherer, workers, log,
                launch.isSocketInherited() ? inherited() : ConnectionAcceptor.at(launch.listen()));
    }

    private static ConnectionAcceptor inherited() throws IOException {
        ConnectionAcceptor listener = InheritedListener.take();
        if (listener == null) {
            throw new ConfigException("ROUTER_INHERITED_FD", "ROUTER_INHERITED_FD names descriptor 0, which is no"
                    + " listening TCP socket: start the program with the clients' socket there, or unset it");
        }
        return listener;
    }

    /** A front that takes its connections from here; it serves what {@link #serve} is given as well. */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            WorkerTransport workers, Logger log, ConnectionAcceptor acceptor) {
        this.launch = launch;
        this.current = current;
        this.clock = clock;
        this.gatherer = gatherer;
        this.workers = workers;
        this.log = log;
        server = new Server("api", acceptor, launch.maxClientConnections(), launch.maxClientConnections(),
                ConnectionTimeouts.SHORT,
                this::handle, log::info);
    }

    /** Begins to serve. */
    public void start() {
        server.start();
    }

    /** Serves one connection alone. */
    public void serve(Socket client) throws IOException {
        server.serve(client);
    }

    /** So many processes share the connections that this gatherer may hold. */
    public void setProcessCount(int processes) {
        server.limit(Math.max(1, launch.maxClientConnections() / processes));
    }

    /** Whether the platform may send clients here. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Shuts down gracefully: queries are taken through the hand-over, and all are answered. What comes from now on is
     * answered before the end, whatever time its client has.
     */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        lastAnswerAt = clock.getAsLong() + TimeUnit.MILLISECONDS.toMicros(handOverMillis + finishMillis);
        // another process takes what connects; with each answer a client moves over to it
        if (launch.isSocketInherited()) {
            server.stopAccepting();
            server.leave();
        } else {
            server.stay();
        }
        Thread.sleep(handOverMillis);
        server.leave();
        server.finish(finishMillis);
        int unanswered = gatherer.openQueries();
        if (unanswered > 0) {
            log.info("left with {} queries not answered", unanswered);
        }
    }

    // ---- requests -----------------------------------------------------------------------------------------

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String path = request.target().split("\\?", 2)[0];
        if (!path.equals(QUERY_PATH)) {
            exchange.notWork();
        }
        switch (path) {
            case READY_PATH -> readiness(request, exchange);
            case QUERY_PATH -> {
                if (request.method().equals("POST")) {
                    query(request, exchange);
                } else {
                    exchange.answer(405, "Allow: POST\r\n", QueryResponses.text("method not allowed"));
                }
            }
            default -> exchange.answer(404, "", QueryResponses.text("no such path"));
        }
    }

    private void readiness(HttpMessage request, HttpExchange exchange) throws IOException {
        if (request.method().equals("GET") || request.method().equals("HEAD")) {
            exchange.answer(ready ? 200 : 503, "", QueryResponses.text(ready ? "ready" : "not ready"));
        } else {
            exchange.answer(405, "Allow: GET, HEAD\r\n", QueryResponses.text("method not allowed"));
        }
    }

    private void query(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        if (exchange.clientHasGone()) {
            return; // nobody waits for it: nothing is forwarded
        }
        Query query = open(request);
        exchange.whenGone(() -> gatherer.clientDisconnected(query));
        QueryResponses.answer(exchange, gatherer.run(query, workers));
    }

    private Query open(HttpMessage request) throws HttpProtocolException {
        Json.Obj body = body(request);
        String asked = body.text("q");
        LaunchConfig inForce = current.get();
        int queryClass = inForce.classIndex(request.header("X-Class"));
        String id = request.header("X-Request-Id");
        if (asked == null || queryClass < 0 || id == null || !QueryHeaders.isRequestId(id)) {
            throw new HttpProtocolException(400, "X-Request-Id, X-Class or q is absent or malformed");
        }
        long timeout = Math.min(QueryHeaders.timeoutMicros(request.header("X-Deadline")),
                inForce.settings().classes().get(queryClass).clientTimeout());
        long deadline = Math.min(clock.fromNanoTime(request.begunAt()) + timeout, lastAnswerAt) - WIRE_MARGIN_MICROS;
        boolean retry = "1".equals(request.header("X-Retry"));
        Query query = gatherer.open(id, queryClass, deadline, retry, parts(body),
                asked.getBytes(StandardCharsets.UTF_8));
        if (query == null) {
            throw new HttpProtocolException(400, "X-Request-Id is in use");
        }
        return query;
    }

    private static Json.Obj body(HttpMessage request) throws HttpProtocolException {
        try {
            ByteSlice bytes = request.body();
            return Json.object(bytes.buffer(), bytes.from(), bytes.length());
        } catch (Json.Malformed e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
    }

    private List<Query.PartRequest> parts(Json.Obj body) throws HttpProtocolException {
        try {
            return QueryBody.parseParts(body, launch.settings().layout().shards());
        } catch (QueryBody.InvalidQueryBodyException e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
    }
}
