package wallmoor.edge;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.Launch;
import wallmoor.core.Gatherer;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.core.Workers;
import wallmoor.exchange.Decision;
import wallmoor.exchange.Exchange;
import wallmoor.exchange.Exchanges;
import wallmoor.exchange.Key;
import wallmoor.exchange.Outcome;
import wallmoor.exchange.Rules;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.queries.QueryBody;

/**
 * Where the edge's fronts bring what devices ask, over whatever wire: one state behind all of them. It runs each query
 * once, on a thread of its own, whether or not its device is still there, and keeps what came of it as the exchanges'
 * rules say.
 */
public final class EdgeQueries {
    private static final long LONGEST_SLEEP_MILLIS = 500;
    private static final long SHORTEST_SLEEP_MILLIS = 5;
    /** Kept back of a query's time for the answer's making (microseconds). */
    private static final long FOR_THE_ANSWER = 5_000;

    private final Logger log = LoggerFactory.getLogger(EdgeQueries.class);
    private final Supplier<Launch> launch;
    private final Gatherer gatherer;
    private final Workers workers;
    private final LongSupplier clock;
    private final Exchanges exchanges;
    private final ThreadPoolExecutor threads;
    private final Map<Exchange, Running> running = new ConcurrentHashMap<>();
    private final String prefix;
    private final Rules rules;
    private long numbers;
    private volatile long lastAnswer = Long.MAX_VALUE;

    private static final class Running {
        final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        volatile Query query;
        volatile boolean cancelled;
    }

    /**
     * A desk.
     *
     * @param clock the gatherer's, microseconds of Unix time
     */
    public EdgeQueries(Rules rules, Supplier<Launch> launch, Gatherer gatherer, Workers workers, LongSupplier clock) {
        this.launch = launch;
        this.gatherer = gatherer;
        this.workers = workers;
        this.clock = clock;
        exchanges = new Exchanges(rules, clock.getAsLong());
        threads = Threads.pool("edge-query", rules.open());
        this.rules = rules;
        byte[] drawn = new byte[6];
        new SecureRandom().nextBytes(drawn);
        prefix = "e" + HexFormat.of().formatHex(drawn) + "-";
    }

    /** Begins to keep time. */
    public void start() {
        Threads.start("edge-timers", this::runTimers);
    }

    /** Queries are answered before this from now on: the program ends in so many milliseconds. */
    public void leave(long millis) {
        lastAnswer = clock.getAsLong() + millis * 1000;
    }

    /** A device asks for a query. Of {@link Decision.Run} and {@link Decision.Attach} see {@link #await}. */
    public Decision ask(Key key, Ask ask) {
        Running made = null;
        Decision decision;
        synchronized (exchanges) {
            decision = exchanges.ask(clock.getAsLong(), key, ask.digest(), ask.mayRepeat());
            if (decision instanceof Decision.Run run) {
                made = new Running();
                running.put(run.exchange(), made);
            }
        }
        if (made != null) {
            start(((Decision.Run) decision).exchange(), made, ask);
        }
        return decision;
    }

    /** A device asks for what became of a query. */
    public Decision outcome(Key key, boolean await) {
        synchronized (exchanges) {
            return exchanges.outcome(clock.getAsLong(), key, await);
        }
    }

    /** A piece of a query's body has come. */
    public Decision piece(Key key, int from, byte[] bytes, int total, boolean last) {
        synchronized (exchanges) {
            return exchanges.piece(clock.getAsLong(), key, from, bytes, total, last);
        }
    }

    /**
     * Completes with the outcome of a query that is out, or with null where it was cancelled as nobody waited. Whoever
     * waits says by {@link #left} that it no longer does.
     */
    public CompletableFuture<Outcome> await(Exchange exchange) {
        Running r = running.get(exchange);
        return r != null ? r.outcome : CompletableFuture.completedFuture(exchange.outcome());
    }

    /** One that waited does so no longer. */
    public void left(Exchange exchange) {
        synchronized (exchanges) {
            exchanges.left(clock.getAsLong(), exchange);
        }
    }

    /** How much is held. */
    public Exchanges.Held held() {
        synchronized (exchanges) {
            return exchanges.held();
        }
    }

    // ---- running ------------------------------------------------------------------------------------------

    private void start(Exchange exchange, Running r, Ask ask) {
        try {
            threads.execute(() -> run(exchange, r, ask));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            end(exchange, r, refused(rules.returnFirst(), "too much at work"));
        }
    }

    private void run(Exchange exchange, Running r, Ask ask) {
        Outcome outcome = failed(true, "internal error"); // what can't be told is never told to be harmless
        boolean gone = false;
        try {
            long giveUp = launch.get().settings().classes().get(ask.queryClass()).giveUp();
            long deadline = Math.min(clock.getAsLong() + Math.min(ask.millis() * 1000, giveUp), lastAnswer)
                    - FOR_THE_ANSWER;
            String id;
            synchronized (exchanges) {
                id = prefix + Long.toString(++numbers, 36);
            }
            Query query = gatherer.open(id, ask.queryClass(), deadline, false, ask.parts(), ask.text());
            r.query = query;
            if (r.cancelled) {
                gatherer.gone(query);
            }
            Step.Final end = gatherer.run(query, workers);
            gone = end instanceof Step.Gone;
            outcome = outcome(end);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            log.error("query of {} failed", exchange.key().device(), e);
        } finally {
            if (gone) {
                synchronized (exchanges) {
                    exchanges.cancelled(clock.getAsLong(), exchange);
                    running.remove(exchange);
                }
                r.outcome.complete(null);
            } else {
                end(exchange, r, outcome);
            }
        }
    }

    private void end(Exchange exchange, Running r, Outcome outcome) {
        Outcome kept;
        synchronized (exchanges) {
            kept = exchanges.ended(clock.getAsLong(), exchange, outcome);
            running.remove(exchange);
        }
        r.outcome.complete(kept);
    }

    private Outcome outcome(Step.Final end) {
        if (end instanceof Step.Answer a) {
            var to = new StringBuilder(64 + 64 * a.values().size()).append("{\"outcome\":\"answered\",");
            QueryBody.hits(to, a);
            byte[] body = to.append('}').toString().getBytes(StandardCharsets.UTF_8);
            // room was set aside for less: it can't be kept, hence not be told twice
            if (body.length > rules.mostOutcome()) {
                return failed(true,
                        "answered with more than the " + rules.mostOutcome() + " bytes that an outcome may have");
            }
            return new Outcome(a.whole() ? Outcome.Kind.WHOLE : Outcome.Kind.PARTIAL, 0, body);
        }
        if (end instanceof Step.Refuse r) {
            return refused(r.comeBackAfter(), "turned away; ask again under a new id");
        }
        return end instanceof Step.Fail f
                ? failed(f.ran(), f.late() ? "nodes were waited for in vain" : "nodes failed it")
                : failed(true, "given up");
    }

    private static Outcome refused(long comeBack, String detail) {
        return new Outcome(Outcome.Kind.REFUSED, comeBack, problem("refused", 503, detail, "\"outcome\":\"refused\","
                + "\"ran\":\"never\",\"retry_after_ms\":" + comeBack / 1000));
    }

    private static Outcome failed(boolean ran, String detail) {
        return new Outcome(ran ? Outcome.Kind.FAILED_MAY_HAVE_RUN : Outcome.Kind.FAILED_NEVER_RAN, 0, problem("failed",
                502, detail, "\"outcome\":\"failed\",\"ran\":\"" + (ran ? "maybe" : "never") + "\""));
    }

    /** A problem by RFC 9457, with members of our own; {@code members} is JSON, or empty. */
    public static byte[] problem(String type, int status, String detail, String members) {
        var to = new StringBuilder("{\"type\":\"urn:wallmoor:").append(type).append("\",\"title\":\"").append(type)
                .append("\",\"status\":").append(status).append(",\"detail\":");
        Json.quote(to, String.valueOf(detail));
        return to.append(members.isEmpty() ? "" : ",").append(members).append('}').toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private void runTimers() {
        try {
            while (true) {
                long wait;
                synchronized (exchanges) {
                    for (Exchange e : exchanges.tick(clock.getAsLong())) {
                        Running r = running.get(e);
                        if (r != null) {
                            r.cancelled = true;
                            if (r.query != null) {
                                gatherer.gone(r.query);
                            }
                        }
                    }
                    wait = (exchanges.due() - clock.getAsLong()) / 1000;
                }
                Thread.sleep(Math.max(SHORTEST_SLEEP_MILLIS, Math.min(LONGEST_SLEEP_MILLIS, wait)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
