package wallmoor.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.Step;
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

/** The platform's front: queries by {@code POST /api}. */
public final class PlatformFront {
    /** Time kept back from the client's deadline for the answer's way and a busy machine (microseconds). */
    private static final long FOR_THE_WIRE = 10_000;

    private final LaunchConfig launch;
    /** What is in force now; a query keeps what it was opened under. */
    private final Supplier<LaunchConfig> current;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final WorkerTransport workers;
    private final Server server;
    private final Consumer<String> log;
    private volatile boolean setReady;
    /** When the program ends: an answer after that would never go out. */
    private volatile long lastAnswer = Long.MAX_VALUE;

    /**
     * Makes the front and listens; nothing is answered before {@link #start}.
     *
     * @param current  the settings in force, asked for with each query
     * @param gatherer takes the queries
     * @param workers  where their parts go
     */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            WorkerTransport workers,
            Consumer<String> log)
            throws IOException {
        this(launch, current, clock, gatherer, workers, log,
                launch.inherited() ? inherited() : ConnectionAcceptor.at(launch.listen()));
    }

    private static ConnectionAcceptor inherited() throws IOException {
        ConnectionAcceptor held = InheritedListener.take();
        if (held == null) {
            throw new ConfigException("ROUTER_INHERITED_FD", "ROUTER_INHERITED_FD names descriptor 0, which is no"
                    + " listening TCP socket: start the program with the clients' socket there, or unset it");
        }
        return held;
    }

    /** A front that takes its connections from here; it serves what {@link #serve} is given as well. */
    public PlatformFront(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            WorkerTransport workers,
            Consumer<String> log,
            ConnectionAcceptor listening) {
        this.launch = launch;
        this.current = current;
        this.clock = clock;
        this.gatherer = gatherer;
        this.workers = workers;
        this.log = log;
        server = new Server("api", listening, launch.mostClients(), launch.mostClients(), ConnectionTimeouts.SHORT,
                this::handle,
                log);
    }

    /** Begins to serve. */
    public void start() {
        server.start();
    }

    /** Serves one connection alone. */
    public void serve(Socket client) throws IOException {
        server.serve(client);
    }

    /** So many processes share what this gatherer may hold of connections. */
    public void setProcessCount(int processes) {
        server.limit(Math.max(1, launch.mostClients() / processes));
    }

    /** Whether the front of the platform may send clients here. */
    public void setReady(boolean is) {
        setReady = is;
    }

    /**
     * The rules on a planned restart: not ready, but queries are taken through the hand-over, and all answered. What
     * comes from now on is answered before the end, whatever time its client has.
     */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        lastAnswer = clock.getAsLong() + 1000 * (handOverMillis + finishMillis);
        if (launch.inherited()) { // another process takes what connects; with each answer a client moves over to it
            server.stopAccepting();
            server.leave();
        } else {
            server.stay();
        }
        Thread.sleep(handOverMillis);
        server.leave();
        server.finish(finishMillis);
        int left = gatherer.openQueries();
        if (left > 0) {
            log.accept("left with " + left + " queries not answered");
        }
    }

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String path = request.target().split("\\?", 2)[0];
        if (!path.equals("/api")) {
            exchange.notWork();
        }
        if (path.equals("/-/ready")) {
            if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
                exchange.answer(405, "Allow: GET, HEAD\r\n", text("method not allowed"));
            } else {
                exchange.answer(setReady ? 200 : 503, "", text(setReady ? "ready" : "not ready"));
            }
        } else if (!path.equals("/api")) {
            exchange.answer(404, "", text("no such path"));
        } else if (!request.method().equals("POST")) {
            exchange.answer(405, "Allow: POST\r\n", text("method not allowed"));
        } else {
            query(request, exchange);
        }
    }

    private void query(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        if (exchange.clientHasGone()) {
            return; // nobody waits for it: nothing is sent on
        }
        Json.Obj body;
        try {
            ByteSlice s = request.body();
            body = Json.object(s.buffer(), s.from(), s.length());
        } catch (Json.Malformed e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
        String q = body.text("q");
        LaunchConfig inForce = current.get();
        int queryClass = inForce.place(request.header("X-Class"));
        String id = request.header("X-Request-Id");
        if (q == null || queryClass < 0 || id == null || !isId(id)) {
            throw new HttpProtocolException(400, "X-Request-Id, X-Class or q is absent or malformed");
        }
        long giveUp = inForce.settings().classes().get(queryClass).clientTimeout();
        long wait = Math.min(deadline(request.header("X-Deadline")), giveUp);
        long deadline = Math.min(clock.at(request.begunAt()) + wait, lastAnswer) - FOR_THE_WIRE;
        List<Query.PartRequest> asks;
        try {
            asks = QueryBody.asks(body, launch.settings().layout().shards());
        } catch (QueryBody.InvalidQueryBodyException e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
        Query query = gatherer.open(id, queryClass, deadline, "1".equals(request.header("X-Retry")), asks,
                q.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (query == null) {
            throw new HttpProtocolException(400, "X-Request-Id is in use");
        }
        exchange.whenGone(() -> gatherer.clientDisconnected(query));
        answer(exchange, gatherer.run(query, workers));
    }

    private static void answer(HttpExchange exchange, Step.FinalStep end) throws IOException {
        if (end instanceof Step.Answer a) {
            exchange.answer(200, "Content-Type: application/json\r\n", hits(a));
        } else if (end instanceof Step.Reject r) {
            exchange.answer(503, "Retry-After: " + seconds(r.retryAfter()) + "\r\n", text("refused"));
        } else if (end instanceof Step.Fail f) {
            exchange.answer(f.timedOut() ? 504 : 502, "", text("failed"));
        }
    }

    private static String seconds(long micros) {
        long millis = (micros + 500) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static byte[] hits(Step.Answer answer) {
        var to = new StringBuilder(64 + 64 * answer.values().size()).append('{');
        QueryBody.hits(to, answer);
        return to.append('}').toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static byte[] text(String text) {
        return (text + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** One to 64 visible signs. A pattern would be made anew for each query, and its classes loaded at each start. */
    private static boolean isId(String id) {
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) < '!' || id.charAt(i) > '~') {
                return false;
            }
        }
        return !id.isEmpty() && id.length() <= 64;
    }

    /** Up to 12 digits, up to 9 more after a dot, and {@code m} or {@code u}. */
    private static boolean isTime(String value) {
        int dot = value.indexOf('.');
        int unit = value.length() - 1;
        int whole = dot < 0 ? unit : dot;
        return (value.endsWith("m") || value.endsWith("u")) && digits(value, 0, whole) && whole <= 12
                && (dot < 0 || digits(value, dot + 1, unit) && unit - dot <= 10);
    }

    private static boolean digits(String value, int from, int to) {
        for (int i = from; i < to; i++) {
            if (value.charAt(i) < '0' || value.charAt(i) > '9') {
                return false;
            }
        }
        return from < to;
    }

    private static long deadline(String value) throws HttpProtocolException {
        if (value == null || !isTime(value)) {
            throw new HttpProtocolException(400, "X-Deadline is absent or malformed");
        }
        double number = Double.parseDouble(value.substring(0, value.length() - 1));
        long micros = (long) (value.endsWith("m") ? 1000 * number : number);
        if (micros <= 0) {
            throw new HttpProtocolException(400, "X-Deadline is over");
        }
        return micros;
    }
}
