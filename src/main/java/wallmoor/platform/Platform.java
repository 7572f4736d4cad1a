package wallmoor.platform;

import java.io.IOException;
import java.net.Proxy;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wallmoor.config.Launch;
import wallmoor.core.Clock;
import wallmoor.core.Gatherer;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.http.HttpProblem;
import wallmoor.http.Message;
import wallmoor.http.Server;
import wallmoor.http.Slice;
import wallmoor.http.Threads;
import wallmoor.json.Json;

/** The platform's front: queries by {@code POST /api}, parts to workers by frames, the list by discovery's watch. */
public final class Platform {
    /** Time kept back from the client's deadline for the answer's way and a busy machine (microseconds). */
    private static final long FOR_THE_WIRE = 10_000;
    private static final int MOST_PARTS = 1000;
    /** A connection to a worker is silent after this share of the shortest aim: the module calls a part late then. */
    private static final int SILENT_SHARE = 5;
    /** Weights add up to 1 but for their rounding. */
    private static final double WEIGHT_SLACK = 0.01;

    private final Launch launch;
    private final Clock clock;
    private final Gatherer gatherer;
    private final WorkerLinks workers;
    private final Server server;
    private final DiscoveryWatch watch;
    private final Consumer<String> log;
    private final List<wallmoor.core.Member> known;
    private volatile boolean ready;
    /** When the program ends: an answer after that would never go out. */
    private volatile long lastAnswer = Long.MAX_VALUE;
    private Thread timers;

    /** Makes the front and listens; nothing is answered before {@link #start}. */
    public Platform(Launch launch, Clock clock, Consumer<String> log) throws IOException, Json.Malformed {
        this(launch, clock, log, null);
    }

    /** A front whose workers are reached by other sockets does not listen. */
    Platform(Launch launch, Clock clock, Consumer<String> log, Supplier<Socket> others)
            throws IOException, Json.Malformed {
        this.launch = launch;
        this.clock = clock;
        this.log = log;
        gatherer = new Gatherer(launch.settings(), launch.seed(), clock, log);
        long retire = Math.max(launch.connIdleMillis() / 2, launch.connIdleMillis() - 1500);
        long silent = launch.settings().classes().stream().mapToLong(c -> c.aim()).min().orElse(1_000_000) * 1000
                / SILENT_SHARE;
        workers = new WorkerLinks(gatherer, new WorkerLinks.Limits(launch.streams(), launch.connectMillis(),
                TimeUnit.MILLISECONDS.toNanos(retire), silent, launch.mostWorkerConnections(),
                others == null ? () -> new Socket(Proxy.NO_PROXY) : others)); // no settings of proxies are read
        Members list = launch.known() == null ? new Members(0, true, List.of())
                : Members.of(launch.known(), launch);
        known = list.members();
        watch = new DiscoveryWatch(launch, list.revision(), gatherer, log);
        server = new Server("api", others == null ? launch.listen() : null, launch.mostClients(), launch.mostClients(), this::handle, log);
    }

    /** Begins to serve: the list as last held at once, news of it as discovery has them. */
    public void start() {
        gatherer.start(known);
        Threads.start("timers", gatherer::runTimers);
        Threads.start("discovery", watch::run);
        server.start();
    }

    /** Takes a configuration that was read again: the watch moves to its discovery; the rest holds from a restart on. */
    public void reload(Launch changed) {
        log.accept("configuration read again, discovery is " + changed.discovery());
        watch.move(changed.discovery());
    }

    /** Serves one connection alone, on these workers and without discovery. */
    void rehearse(List<wallmoor.core.Member> members, Socket client) {
        gatherer.start(members);
        timers = Threads.start("rehearsal-timers", gatherer::runTimers);
        server.serve(client);
    }

    /** Ends a rehearsal: nothing of it stays. */
    void end() {
        if (timers != null) {
            timers.interrupt();
        }
        workers.close();
    }

    /** Whether the front of the platform may send clients here. */
    public void ready(boolean is) {
        ready = is;
    }

    /**
     * The rules on a planned restart: not ready, but queries are taken through the hand-over, and all answered. What
     * comes from now on is answered before the end, whatever time its client has.
     */
    public void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        lastAnswer = clock.getAsLong() + 1000 * (handOverMillis + finishMillis);
        Thread.sleep(handOverMillis);
        server.leave();
        server.finish(finishMillis);
        int left = gatherer.openQueries();
        if (left > 0) {
            log.accept("left with " + left + " queries not answered");
        }
    }

    private void handle(Message request, Server.Exchange exchange)
            throws IOException, HttpProblem, InterruptedException {
        String path = request.target().split("\\?", 2)[0];
        if (path.equals("/-/ready")) {
            if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
                exchange.answer(405, "Allow: GET, HEAD\r\n", text("method not allowed"));
            } else {
                exchange.answer(ready ? 200 : 503, "", text(ready ? "ready" : "not ready"));
            }
        } else if (!path.equals("/api")) {
            exchange.answer(404, "", text("no such path"));
        } else if (!request.method().equals("POST")) {
            exchange.answer(405, "Allow: POST\r\n", text("method not allowed"));
        } else {
            query(request, exchange);
        }
    }

    private void query(Message request, Server.Exchange exchange)
            throws IOException, HttpProblem, InterruptedException {
        Json.Obj body;
        try {
            Slice s = request.body();
            body = Json.object(s.buffer(), s.from(), s.length());
        } catch (Json.Malformed e) {
            throw new HttpProblem(400, e.getMessage());
        }
        String q = body.text("q");
        int queryClass = launch.classes().indexOf(request.header("X-Class"));
        String id = request.header("X-Request-Id");
        if (q == null || queryClass < 0 || id == null || !id.matches("[!-~]{1,64}")) {
            throw new HttpProblem(400, "X-Request-Id, X-Class or q is absent or malformed");
        }
        long giveUp = launch.settings().classes().get(queryClass).giveUp();
        long wait = Math.min(deadline(request.header("X-Deadline")), giveUp);
        long deadline = Math.min(clock.at(request.begunAt()) + wait, lastAnswer) - FOR_THE_WIRE;
        Query query = gatherer.open(id, queryClass, deadline, "1".equals(request.header("X-Retry")), asks(body),
                q.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (query == null) {
            throw new HttpProblem(400, "X-Request-Id is in use");
        }
        exchange.whenGone(() -> gatherer.gone(query));
        answer(exchange, gatherer.run(query, workers));
    }

    private static void answer(Server.Exchange exchange, Step.Final end) throws IOException {
        if (end instanceof Step.Answer a) {
            exchange.answer(200, "Content-Type: application/json\r\n", hits(a));
        } else if (end instanceof Step.Refuse r) {
            exchange.answer(503, "Retry-After: " + seconds(r.comeBackAfter()) + "\r\n", text("refused"));
        } else if (end instanceof Step.Fail f) {
            exchange.answer(f.late() ? 504 : 502, "", text("failed"));
        }
    }

    private static String seconds(long micros) {
        return String.format(java.util.Locale.ROOT, "%.3f", micros / 1e6);
    }

    private static byte[] hits(Step.Answer answer) {
        var to = new StringBuilder(64 + 64 * answer.values().size());
        to.append("{\"complete\":").append(answer.whole()).append(",\"hits\":[");
        for (int i = 0; i < answer.values().size(); i++) {
            Step.Value value = answer.values().get(i);
            to.append(i == 0 ? "" : ",").append("{\"shard\":").append(value.shard()).append(",\"doc\":");
            Json.quote(to, new String(value.bytes(), java.nio.charset.StandardCharsets.UTF_8));
            to.append('}');
        }
        return to.append("]}").toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static byte[] text(String text) {
        return (text + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static long deadline(String value) throws HttpProblem {
        if (value == null || !value.matches("[0-9]{1,12}(\\.[0-9]{1,9})?[mu]")) {
            throw new HttpProblem(400, "X-Deadline is absent or malformed");
        }
        double number = Double.parseDouble(value.substring(0, value.length() - 1));
        long micros = (long) (value.endsWith("m") ? 1000 * number : number);
        if (micros <= 0) {
            throw new HttpProblem(400, "X-Deadline is over");
        }
        return micros;
    }

    private List<Query.Ask> asks(Json.Obj body) throws HttpProblem {
        List<?> shards = body.list("shards");
        var asks = new ArrayList<Query.Ask>();
        var seen = new HashSet<Integer>();
        double sum = 0;
        for (Object entry : shards == null ? List.of() : shards) {
            if (!(entry instanceof Json.Obj part) || !(part.get("shard") instanceof Long shard) || shard < 0
                    || shard >= launch.settings().layout().shards() || !seen.add(shard.intValue())) {
                throw new HttpProblem(400, "shards holds what is no part");
            }
            double weight = part.number("weight", -1);
            if (!(weight > 0 && weight <= 1 + WEIGHT_SLACK) || asks.size() == MOST_PARTS) {
                throw new HttpProblem(400, "shards holds a weight that is none, or too many parts");
            }
            sum += weight;
            asks.add(new Query.Ask(shard.intValue(), weight, (long) part.number("cost", -1)));
        }
        if (asks.isEmpty() || Math.abs(sum - 1) > WEIGHT_SLACK) {
            throw new HttpProblem(400, "shards is absent or empty, or its weights don't add up to 1");
        }
        return asks;
    }
}
