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
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.WorkerTransport;
import wallmoor.idempotency.IdempotencyKey;
import wallmoor.idempotency.IdempotencyLimits;
import wallmoor.idempotency.IdempotentRequests;
import wallmoor.idempotency.RequestDecision;
import wallmoor.idempotency.RequestRecord;
import wallmoor.idempotency.StoredOutcome;
import wallmoor.json.Json;
import wallmoor.queries.QueryBody;
import wallmoor.threads.Threads;

/**
 * Runs the queries of devices. The HTTP and CoAP fronts share one instance. It runs each query once, on a thread of its
 * own, whether or not its device is still connected, and stores the outcome as {@link IdempotentRequests} decides.
 */
public final class EdgeQueries {
    private static final long MAX_SLEEP_MILLIS = 500;
    private static final long MIN_SLEEP_MILLIS = 5;
    /** The part of a query's time that is reserved for encoding the answer. */
    private static final long ANSWER_RESERVE_MICROS = 5_000;
    private static final int WORKER_KEY_BYTES = 16;

    private final Logger log = LoggerFactory.getLogger(EdgeQueries.class);
    private final Supplier<LaunchConfig> launch;
    private final Gatherer gatherer;
    private final WorkerTransport workers;
    private final LongSupplier clock;
    private final IdempotentRequests requests;
    private final ThreadPoolExecutor threads;
    private final Map<RequestRecord, RunningQuery> running = new ConcurrentHashMap<>();
    private final String queryIdPrefix;
    private final IdempotencyLimits limits;
    private long queryCount;

    private static final class RunningQuery {
        final CompletableFuture<StoredOutcome> outcome = new CompletableFuture<>();
        volatile Query query;
        volatile boolean cancelled;
    }

    /**
     * Creates the queries, with none running.
     *
     * @param clock the gatherer's clock, in microseconds of Unix time
     */
    public EdgeQueries(IdempotencyLimits limits, Supplier<LaunchConfig> launch, Gatherer gatherer,
            WorkerTransport workers, LongSupplier clock) {
        this.launch = launch;
        this.gatherer = gatherer;
        this.workers = workers;
        this.clock = clock;
        requests = new IdempotentRequests(limits, clock.getAsLong());
        threads = Threads.pool("edge-query", limits.maxOpen());
        this.limits = limits;
        byte[] randomBytes = new byte[6];
        new SecureRandom().nextBytes(randomBytes);
        queryIdPrefix = "e" + HexFormat.of().formatHex(randomBytes) + "-";
    }

    /** Starts the timers that expire requests. */
    public void start() {
        Threads.startEssential("edge-timers", this::runTimers);
    }

    /** Limits the deadlines of all queries: the program ends in so many milliseconds. */
    public void shutDown(long millis) {
        gatherer.control().limitDeadlines(clock.getAsLong() + millis * 1000 - ANSWER_RESERVE_MICROS);
    }

    /**
     * Submits a device's query, and starts it if it is to be run. After {@link RequestDecision.Execute} and
     * {@link RequestDecision.Attach} use {@link #await}.
     *
     * @throws EdgeRequest.InvalidQueryException if the query's class was removed and the query is not a repeat
     */
    public RequestDecision submit(IdempotencyKey key, EdgeRequest edgeRequest)
            throws EdgeRequest.InvalidQueryException {
        RunningQuery newQuery = null;
        RequestDecision decision;
        synchronized (requests) {
            if (!edgeRequest.isClassActive() && !requests.isKnown(key)) {
                throw new EdgeRequest.InvalidQueryException("class is no longer known");
            }
            decision = requests.submit(clock.getAsLong(), key, edgeRequest.digest(), edgeRequest.isIdempotent());
            if (decision instanceof RequestDecision.Execute run) {
                newQuery = new RunningQuery();
                running.put(run.request(), newQuery);
            }
        }
        if (newQuery != null) {
            start(((RequestDecision.Execute) decision).request(), newQuery, edgeRequest);
        }
        return decision;
    }

    /** Returns the state or outcome of a query; {@code await} tells whether the device waits for its outcome. */
    public RequestDecision outcome(IdempotencyKey key, boolean await) {
        synchronized (requests) {
            return requests.outcome(clock.getAsLong(), key, await);
        }
    }

    /** Adds a received chunk of a query's body. */
    public RequestDecision uploadChunk(IdempotencyKey key, int from, byte[] bytes, int total, boolean last) {
        synchronized (requests) {
            return requests.uploadChunk(clock.getAsLong(), key, from, bytes, total, last);
        }
    }

    /**
     * Returns a future of the outcome of a running query. It completes with null if the query was cancelled because
     * nobody waited for it. A caller that stops waiting calls {@link #waiterLeft}.
     */
    public CompletableFuture<StoredOutcome> await(RequestRecord requestRecord) {
        RunningQuery runningQuery = running.get(requestRecord);
        return runningQuery != null ? runningQuery.outcome : CompletableFuture.completedFuture(requestRecord.outcome());
    }

    /** Records that one of those who wait for the query's outcome has stopped waiting. */
    public void waiterLeft(RequestRecord requestRecord) {
        synchronized (requests) {
            requests.waiterLeft(clock.getAsLong(), requestRecord);
        }
    }

    /** Returns how many requests are open and how many outcomes are retained. */
    public IdempotentRequests.Usage usage() {
        synchronized (requests) {
            return requests.usage();
        }
    }

    private void start(RequestRecord requestRecord, RunningQuery runningQuery, EdgeRequest edgeRequest) {
        try {
            threads.execute(() -> run(requestRecord, runningQuery, edgeRequest));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            complete(requestRecord, runningQuery, refused(limits.minRetryAfter(), "too much at work", false));
        }
    }

    private void run(RequestRecord requestRecord, RunningQuery runningQuery, EdgeRequest edgeRequest) {
        // the query may have run unless it is certain that it did not
        StoredOutcome outcome = failed(true, "internal error");
        boolean clientGone = false;
        try {
            LaunchConfig configuration = launch.get();
            int queryClass = edgeRequest.queryClass();
            long deadline = clock.getAsLong()
                    + Math.min(edgeRequest.timeoutMillis() * 1000, configuration.clientTimeout(queryClass))
                    - ANSWER_RESERVE_MICROS;
            String id;
            synchronized (requests) {
                id = queryIdPrefix + Long.toString(++queryCount, 36);
            }
            String workerKey = configuration.usesIdempotencyKey(queryClass) ? workerKey(requestRecord.key()) : null;
            Query query = gatherer.open(new QueryRequest(id, queryClass, deadline, false, workerKey,
                    edgeRequest.parts(), edgeRequest.text()));
            runningQuery.query = query;
            if (runningQuery.cancelled) {
                gatherer.clientDisconnected(query);
            }
            Step.FinalStep finalStep = gatherer.run(query, workers);
            clientGone = finalStep instanceof Step.ClientGone;
            outcome = outcome(finalStep, edgeRequest.isIdempotent());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            log.error("query failed: device={}", requestRecord.key().device(), e);
        } finally {
            if (clientGone) {
                synchronized (requests) {
                    requests.cancelled(clock.getAsLong(), requestRecord);
                    running.remove(requestRecord);
                }
                runningQuery.outcome.complete(null);
            } else {
                complete(requestRecord, runningQuery, outcome);
            }
        }
    }

    /**
     * Returns the key by which workers recognise a repeat of a device's request: the same at every gatherer, as a
     * device repeats its request elsewhere when a gatherer has failed. 32 hex digits of a hash of the device and its
     * id, because different devices may use the same id.
     */
    static String workerKey(IdempotencyKey key) {
        byte[] hash = EdgeRequest.sha256((key.device() + "/" + key.id()).getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash, 0, WORKER_KEY_BYTES);
    }

    private void complete(RequestRecord requestRecord, RunningQuery runningQuery, StoredOutcome outcome) {
        StoredOutcome stored;
        synchronized (requests) {
            stored = requests.completed(clock.getAsLong(), requestRecord, outcome);
            running.remove(requestRecord);
        }
        runningQuery.outcome.complete(stored);
    }

    private StoredOutcome outcome(Step.FinalStep finalStep, boolean isIdempotent) {
        if (finalStep instanceof Step.Answer answer) {
            byte[] body = QueryBody.encodeAnswer("\"outcome\":\"answered\",", answer, limits.maxOutcomeBytes());
            // more than the memory reserved for the outcome: it can't be stored, hence not be replayed
            if (body == null) {
                return failed(true,
                        "answered with more than the " + limits.maxOutcomeBytes() + " bytes that an outcome may have");
            }
            return new StoredOutcome(
                    answer.complete() ? StoredOutcome.OutcomeKind.COMPLETE : StoredOutcome.OutcomeKind.PARTIAL,
                    0, body);
        }
        if (finalStep instanceof Step.Reject reject) {
            // a query that may be repeated is rejected also after its parts may have run
            return refused(reject.retryAfter(), "turned away; ask again under a new id",
                    reject.attempted() && isIdempotent);
        }
        return finalStep instanceof Step.Fail failure
                ? failed(failure.mayHaveRun(), failure.timedOut() ? "nodes were waited for in vain" : "nodes failed it")
                : failed(true, "given up");
    }

    private static StoredOutcome refused(long retryAfterMicros, String detail, boolean mayHaveRun) {
        return new StoredOutcome(StoredOutcome.OutcomeKind.REJECTED, retryAfterMicros,
                problem("refused", 503, detail, "\"outcome\":\"refused\"," + ranMember(mayHaveRun)
                        + ",\"retry_after_ms\":" + retryAfterMicros / 1000));
    }

    private static String ranMember(boolean mayHaveRun) {
        return "\"ran\":\"" + (mayHaveRun ? "maybe" : "never") + "\"";
    }

    private static StoredOutcome failed(boolean mayHaveRun, String detail) {
        return new StoredOutcome(
                mayHaveRun
                        ? StoredOutcome.OutcomeKind.FAILED_MAY_HAVE_RUN
                        : StoredOutcome.OutcomeKind.FAILED_NEVER_RAN,
                0,
                problem("failed",
                        502, detail, "\"outcome\":\"failed\"," + ranMember(mayHaveRun)));
    }

    /** Encodes a problem (RFC 9457); {@code members} is JSON of further members, or empty. */
    public static byte[] problem(String type, int status, String detail, String members) {
        var json = new StringBuilder("{\"type\":\"urn:wallmoor:").append(type).append("\",\"title\":\"").append(type)
                .append("\",\"status\":").append(status).append(",\"detail\":");
        Json.quote(json, String.valueOf(detail));
        return json.append(members.isEmpty() ? "" : ",").append(members).append('}').toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private void runTimers() {
        try {
            while (true) {
                long waitMillis;
                synchronized (requests) {
                    for (RequestRecord expired : requests.expire(clock.getAsLong())) {
                        RunningQuery runningQuery = running.get(expired);
                        if (runningQuery != null) {
                            runningQuery.cancelled = true;
                            if (runningQuery.query != null) {
                                gatherer.clientDisconnected(runningQuery.query);
                            }
                        }
                    }
                    waitMillis = (requests.nextDeadline() - clock.getAsLong()) / 1000;
                }
                Thread.sleep(Math.max(MIN_SLEEP_MILLIS, Math.min(MAX_SLEEP_MILLIS, waitMillis)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
