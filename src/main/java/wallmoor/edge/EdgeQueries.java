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
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.core.WorkerTransport;
import wallmoor.http.Threads;
import wallmoor.idempotency.IdempotencyKey;
import wallmoor.idempotency.IdempotencyLimits;
import wallmoor.idempotency.IdempotentRequests;
import wallmoor.idempotency.RequestDecision;
import wallmoor.idempotency.RequestRecord;
import wallmoor.idempotency.StoredOutcome;
import wallmoor.json.Json;
import wallmoor.queries.QueryBody;

/**
 * Runs the queries of devices, one state behind all wires of the edge. It runs each query
 * once, on a thread of its own, whether or not its device is still connected, and stores its outcome as
 * {@link IdempotentRequests} decides.
 */
public final class EdgeQueries {
    private static final long LONGEST_SLEEP_MILLIS = 500;
    private static final long SHORTEST_SLEEP_MILLIS = 5;
    /** Kept back of a query's time for the answer's making (microseconds). */
    private static final long ANSWER_RESERVE_MICROS = 5_000;

    private final Logger log = LoggerFactory.getLogger(EdgeQueries.class);
    private final Supplier<LaunchConfig> launch;
    private final Gatherer gatherer;
    private final WorkerTransport workers;
    private final LongSupplier clock;
    private final IdempotentRequests requests;
    private final ThreadPoolExecutor threads;
    private final Map<RequestRecord, RunningQuery> running = new ConcurrentHashMap<>();
    private final String prefix;
    private final IdempotencyLimits limits;
    private long queryCount;
    private volatile long lastAnswerAt = Long.MAX_VALUE;

    private static final class RunningQuery {
        final CompletableFuture<StoredOutcome> outcome = new CompletableFuture<>();
        volatile Query query;
        volatile boolean cancelled;
    }

    /**
     * Without any request yet.
     *
     * @param clock the gatherer's, microseconds of Unix time
     */
    public EdgeQueries(IdempotencyLimits rules, Supplier<LaunchConfig> launch, Gatherer gatherer,
            WorkerTransport workers, LongSupplier clock) {
        this.launch = launch;
        this.gatherer = gatherer;
        this.workers = workers;
        this.clock = clock;
        requests = new IdempotentRequests(rules, clock.getAsLong());
        threads = Threads.pool("edge-query", rules.maxOpen());
        this.limits = rules;
        byte[] drawn = new byte[6];
        new SecureRandom().nextBytes(drawn);
        prefix = "e" + HexFormat.of().formatHex(drawn) + "-";
    }

    /** Begins to keep time. */
    public void start() {
        Threads.start("edge-timers", this::runTimers);
    }

    /** Queries are answered before this from now on: the program ends in so many milliseconds. */
    public void shutDown(long millis) {
        lastAnswerAt = clock.getAsLong() + millis * 1000;
    }

    /**
     * A device asks for a query. For {@link RequestDecision.Execute} and {@link RequestDecision.Attach} see
     * {@link #await}.
     */
    public RequestDecision submit(IdempotencyKey key, EdgeRequest ask) {
        RunningQuery made = null;
        RequestDecision decision;
        synchronized (requests) {
            decision = requests.submit(clock.getAsLong(), key, ask.digest(), ask.mayRepeat());
            if (decision instanceof RequestDecision.Execute run) {
                made = new RunningQuery();
                running.put(run.request(), made);
            }
        }
        if (made != null) {
            start(((RequestDecision.Execute) decision).request(), made, ask);
        }
        return decision;
    }

    /** A device asks for what became of a query. */
    public RequestDecision outcome(IdempotencyKey key, boolean await) {
        synchronized (requests) {
            return requests.outcome(clock.getAsLong(), key, await);
        }
    }

    /** A piece of a query's body has come. */
    public RequestDecision uploadChunk(IdempotencyKey key, int from, byte[] bytes, int total, boolean last) {
        synchronized (requests) {
            return requests.uploadChunk(clock.getAsLong(), key, from, bytes, total, last);
        }
    }

    /**
     * Completes with the outcome of a query that is out, or with null where it was cancelled as nobody waited. Whoever
     * waits says by {@link #waiterLeft} that it no longer does.
     */
    public CompletableFuture<StoredOutcome> await(RequestRecord exchange) {
        RunningQuery r = running.get(exchange);
        return r != null ? r.outcome : CompletableFuture.completedFuture(exchange.outcome());
    }

    /** One that waited does so no longer. */
    public void waiterLeft(RequestRecord exchange) {
        synchronized (requests) {
            requests.waiterLeft(clock.getAsLong(), exchange);
        }
    }

    /** How much is held. */
    public IdempotentRequests.Usage usage() {
        synchronized (requests) {
            return requests.usage();
        }
    }

    // ---- running ------------------------------------------------------------------------------------------

    private void start(RequestRecord exchange, RunningQuery r, EdgeRequest ask) {
        try {
            threads.execute(() -> run(exchange, r, ask));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            end(exchange, r, refused(limits.minRetryAfter(), "too much at work"));
        }
    }

    private void run(RequestRecord exchange, RunningQuery r, EdgeRequest ask) {
        StoredOutcome outcome = failed(true, "internal error"); // what can't be told is never told to be harmless
        boolean gone = false;
        try {
            long giveUp = launch.get().settings().classes().get(ask.queryClass()).clientTimeout();
            long deadline = Math.min(clock.getAsLong() + Math.min(ask.millis() * 1000, giveUp), lastAnswerAt)
                    - ANSWER_RESERVE_MICROS;
            String id;
            synchronized (requests) {
                id = prefix + Long.toString(++queryCount, 36);
            }
            Query query = gatherer.open(id, ask.queryClass(), deadline, false, ask.parts(), ask.text());
            r.query = query;
            if (r.cancelled) {
                gatherer.clientDisconnected(query);
            }
            Step.FinalStep end = gatherer.run(query, workers);
            gone = end instanceof Step.ClientGone;
            outcome = outcome(end);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            log.error("query of {} failed", exchange.key().device(), e);
        } finally {
            if (gone) {
                synchronized (requests) {
                    requests.cancelled(clock.getAsLong(), exchange);
                    running.remove(exchange);
                }
                r.outcome.complete(null);
            } else {
                end(exchange, r, outcome);
            }
        }
    }

    private void end(RequestRecord exchange, RunningQuery r, StoredOutcome outcome) {
        StoredOutcome kept;
        synchronized (requests) {
            kept = requests.completed(clock.getAsLong(), exchange, outcome);
            running.remove(exchange);
        }
        r.outcome.complete(kept);
    }

    private StoredOutcome outcome(Step.FinalStep end) {
        if (end instanceof Step.Answer a) {
            var to = new StringBuilder(64 + 64 * a.values().size()).append("{\"outcome\":\"answered\",");
            QueryBody.appendHits(to, a);
            byte[] body = to.append('}').toString().getBytes(StandardCharsets.UTF_8);
            // room was set aside for less: it can't be kept, hence not be told twice
            if (body.length > limits.maxOutcomeBytes()) {
                return failed(true,
                        "answered with more than the " + limits.maxOutcomeBytes() + " bytes that an outcome may have");
            }
            return new StoredOutcome(
                    a.complete() ? StoredOutcome.OutcomeKind.COMPLETE : StoredOutcome.OutcomeKind.PARTIAL,
                    0, body);
        }
        if (end instanceof Step.Reject r) {
            return refused(r.retryAfter(), "turned away; ask again under a new id");
        }
        return end instanceof Step.Fail f
                ? failed(f.mayHaveRun(), f.timedOut() ? "nodes were waited for in vain" : "nodes failed it")
                : failed(true, "given up");
    }

    private static StoredOutcome refused(long comeBack, String detail) {
        return new StoredOutcome(StoredOutcome.OutcomeKind.REJECTED, comeBack,
                problem("refused", 503, detail, "\"outcome\":\"refused\","
                        + "\"ran\":\"never\",\"retry_after_ms\":" + comeBack / 1000));
    }

    private static StoredOutcome failed(boolean ran, String detail) {
        return new StoredOutcome(
                ran ? StoredOutcome.OutcomeKind.FAILED_MAY_HAVE_RUN : StoredOutcome.OutcomeKind.FAILED_NEVER_RAN, 0,
                problem("failed",
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
                synchronized (requests) {
                    for (RequestRecord e : requests.expire(clock.getAsLong())) {
                        RunningQuery r = running.get(e);
                        if (r != null) {
                            r.cancelled = true;
                            if (r.query != null) {
                                gatherer.clientDisconnected(r.query);
                            }
                        }
                    }
                    wait = (requests.nextDeadline() - clock.getAsLong()) / 1000;
                }
                Thread.sleep(Math.max(SHORTEST_SLEEP_MILLIS, Math.min(LONGEST_SLEEP_MILLIS, wait)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
