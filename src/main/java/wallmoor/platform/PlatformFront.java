package wallmoor.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
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

/** The platform's front: serves queries by {@code POST /api} and readiness by {@code GET /-/ready}. */
public final class PlatformFront {
    private static final String QUERY_PATH = "/api";
    private static final String READY_PATH = "/-/ready";
    /** Subtracted from the client's deadline to allow for the transfer of the answer and a busy machine. */
    private static final long TRANSFER_MARGIN_MICROS = 10_000;

    /** The configuration at the start of the process. */
    private final LaunchConfig launch;
    /** The current configuration; a query uses the one in effect when it was opened. */
    private final Supplier<LaunchConfig> currentConfiguration;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final WorkerTransport workers;
    private final Server server;
    private volatile boolean ready;

    /**
     * Creates the front and binds its listening socket; requests are served only after {@link #start}.
     *
     * @param launch               the configuration at the start of the process
     * @param currentConfiguration supplies the current configuration for each query
     * @param gatherer             executes the queries
     * @param workers              the transport of the queries' parts
     * @param log                  receives failures of connections and requests
     */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> currentConfiguration, MonotonicClock clock,
            Gatherer gatherer, WorkerTransport workers, Logger log) throws IOException {
        this(launch, currentConfiguration, clock, gatherer, workers, log,
                launch.isSocketInherited() ? inheritedListener() : ConnectionAcceptor.at(launch.listen()));
    }

    private static ConnectionAcceptor inheritedListener() throws IOException {
        ConnectionAcceptor listener = InheritedListener.take();
        if (listener == null) {
            throw new ConfigException("ROUTER_INHERITED_FD", "ROUTER_INHERITED_FD names descriptor 0, which is not"
                    + " a listening TCP socket: start the program with the clients' socket there, or unset it");
        }
        return listener;
    }

    /** Creates a front that accepts its connections from an acceptor. */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> currentConfiguration, MonotonicClock clock,
            Gatherer gatherer, WorkerTransport workers, Logger log, ConnectionAcceptor acceptor) {
        this.launch = launch;
        this.currentConfiguration = currentConfiguration;
        this.clock = clock;
        this.gatherer = gatherer;
        this.workers = workers;
        server = new Server("api", acceptor, launch.maxClientConnections(), launch.maxClientConnections(),
                ConnectionTimeouts.SHORT,
                this::handle, log::info);
        setProcessCount(1);
    }

    /** Starts to serve requests. */
    public void start() {
        server.start();
    }

    /** Serves a connection that was not accepted from the acceptor. */
    public void serve(Socket client) throws IOException {
        server.serve(client);
    }

    /** Sets how many processes share the maximum number of client connections of this gatherer. */
    public void setProcessCount(int processes) {
        server.setMaxConnections(Math.max(1, launch.maxClientConnections() / processes),
                Math.max(1, launch.maxOpenClientConnections() / processes));
    }

    /** Sets whether the platform may send clients to this process. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Shuts down gracefully: accepts queries during the hand-over, and waits until all are answered. Every query is
     * answered before the end, even if its client would wait longer.
     *
     * @param handOverMillis the time during which queries are still accepted
     * @param finishMillis   the maximum time to wait for the answers after that
     */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        gatherer.control().limitDeadlines(clock.getAsLong()
                + TimeUnit.MILLISECONDS.toMicros(handOverMillis + finishMillis) - TRANSFER_MARGIN_MICROS);
        // another process accepts new connections, and each answered client reconnects to it
        if (launch.isSocketInherited()) {
            server.stopAccepting();
            server.closeAfterAnswers();
        } else {
            server.keepIdleConnections();
        }
        Thread.sleep(handOverMillis);
        server.closeAfterAnswers();
        server.finish(finishMillis);
    }

    // ---- requests -----------------------------------------------------------------------------------------

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String path = request.target().split("\\?", 2)[0];
        if (!path.equals(QUERY_PATH)) {
            exchange.markNotClientWork();
        }
        switch (path) {
            case READY_PATH -> answerReadiness(request, exchange);
            case QUERY_PATH -> {
                if (request.method().equals("POST")) {
                    answerQuery(request, exchange);
                } else {
                    exchange.answer(405, "Allow: POST\r\n", QueryResponses.textBody("method not allowed"));
                }
            }
            default -> exchange.answer(404, "", QueryResponses.textBody("no such path"));
        }
    }

    private void answerReadiness(HttpMessage request, HttpExchange exchange) throws IOException {
        if (request.method().equals("GET") || request.method().equals("HEAD")) {
            exchange.answer(ready ? 200 : 503, "", QueryResponses.textBody(ready ? "ready" : "not ready"));
        } else {
            exchange.answer(405, "Allow: GET, HEAD\r\n", QueryResponses.textBody("method not allowed"));
        }
    }

    private void answerQuery(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        if (exchange.hasClientDisconnected()) {
            return; // nobody waits for the answer
        }
        Query query = open(request);
        exchange.whenClientDisconnects(() -> gatherer.clientDisconnected(query));
        QueryResponses.answer(exchange, gatherer.run(query, workers));
    }

    private Query open(HttpMessage request) throws HttpProtocolException {
        QueryBody body = parseBody(request);
        String queryText = body.text();
        LaunchConfig configuration = currentConfiguration.get();
        int queryClass = configuration.classIndex(request.header("X-Class"));
        String id = request.header("X-Request-Id");
        if (queryText == null || queryClass < 0 || id == null || !QueryHeaders.isRequestId(id)) {
            throw new HttpProtocolException(400, "X-Request-Id, X-Class or q is absent or malformed");
        }
        long timeout = Math.min(QueryHeaders.timeoutMicros(request.header("X-Deadline")),
                configuration.clientTimeout(queryClass));
        long deadline = clock.fromNanoTime(request.firstByteAt()) + timeout - TRANSFER_MARGIN_MICROS;
        boolean retry = "1".equals(request.header("X-Retry"));
        String idempotencyKey = configuration.usesIdempotencyKey(queryClass)
                ? QueryHeaders.idempotencyKey(request.header("Idempotency-Key"))
                : null;
        Query query = gatherer.open(new QueryRequest(id, queryClass, deadline, retry, idempotencyKey,
                body.parts(), queryText.getBytes(StandardCharsets.UTF_8)));
        if (query == null) {
            throw new HttpProtocolException(400, "X-Request-Id is in use");
        }
        return query;
    }

    private QueryBody parseBody(HttpMessage request) throws HttpProtocolException {
        ByteSlice bytes = request.body();
        try {
            return QueryBody.parse(bytes.buffer(), bytes.from(), bytes.length(),
                    launch.settings().layout().shards());
        } catch (Json.Malformed | QueryBody.InvalidQueryBodyException e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
    }
}
