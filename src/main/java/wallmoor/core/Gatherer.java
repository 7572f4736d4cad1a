package wallmoor.core;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import wallmoor.decision.Absent;
import wallmoor.decision.PartArrived;
import wallmoor.decision.QueryArrived;
import wallmoor.decision.RoutingPolicy;
import wallmoor.decision.RoutingSettings;
import wallmoor.metrics.GathererMetrics;

/**
 * The blocking facade of the routing policy: threads open queries, wait for their next step, report how attempts ended
 * and run the timers. Changes to the endpoint list, bans and settings go through {@link #control}.
 *
 * <p>One lock guards the policy and all tables of this package. It is held while the policy decides, never during I/O;
 * a thread that waits on one of its conditions releases it. Each call is a round of its own: the decisions of the
 * policy are in effect when the call returns. Some state is read without the lock, because it is checked immediately
 * before writing to a worker: {@link Worker#isServing}, {@link Worker#address}, and the fields of queries and attempts
 * that {@link Attempt#checkPermission} reads.
 */
public final class Gatherer {
    /** Time after its deadline at which a query that the policy has not ended is failed here (microseconds). */
    private static final long OVERDUE_MICROS = 5_000;

    private static final long MAX_TIMER_WAIT_MILLIS = 1_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final LongSupplier clock;
    private final Logger log;
    private final GathererMetrics metrics;
    private final OpenRequests requests;
    private final TimerQueue timers = new TimerQueue(lock.newCondition());
    private final PolicyDriver driver;
    private final AttemptLifecycle attempts;
    private final GathererControl control;

    /**
     * Creates a gatherer with its own metrics and without names of query classes.
     *
     * @param seed  the seed of the policy's random choices
     * @param clock Unix time in microseconds, which never goes back
     * @param log   the log for lines of the policy
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Gatherer(RoutingSettings settings, long seed, LongSupplier clock, Logger log) {
        this(settings, List.of(), seed, clock, log, new GathererMetrics());
    }

    /**
     * Creates a gatherer.
     *
     * @param classNames the names of the query classes in the metrics, by their index in the settings
     * @param seed       the seed of the policy's random choices
     * @param clock      Unix time in microseconds, which never goes back
     * @param log        the log for lines of the policy
     * @param metrics    the counters of started and ended queries and of attempts
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Gatherer(RoutingSettings settings, List<String> classNames, long seed, LongSupplier clock, Logger log,
            GathererMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        requests = new OpenRequests(metrics, classNames, settings.classes(), clock);
        var workers = new WorkerRegistry();
        var watch = new WatchDemand(lock.newCondition());
        var round = new RoundState();
        var actions = new PolicyActions(round, requests, workers, timers, watch, log);
        actions.setMaxAttemptsPerCall(settings.limits().maxBatch());
        driver = new PolicyDriver(new RoutingPolicy(settings, seed, actions), round, clock, log);
        attempts = new AttemptLifecycle(driver, round, requests, timers, clock);
        control = new GathererControl(lock, clock, driver, actions, requests, workers, watch);
    }

    /** Returns the control side, which changes the endpoint list, bans and settings. */
    public GathererControl control() {
        return control;
    }

    /** Returns the current time on the gatherer's clock, to which all deadlines refer (microseconds). */
    public long now() {
        return clock.getAsLong();
    }

    // ---- queries ------------------------------------------------------------------------------------------

    /**
     * Opens a query; its thread then calls {@link #awaitStep} until it receives a final step.
     *
     * @return the query; null if a query with this id is open, if parts of an earlier query with this id are still
     *         in flight, because a worker would treat the new parts as duplicates of those, or if a part of an earlier
     *         query with this id, here or at another process, may have run and must not run again
     */
    public Query open(QueryRequest request) {
        if (!requests.mayRunTwice(request) && !control.idClaims().claim(request.id())) {
            return null;
        }
        lock.lock();
        try {
            if (requests.isInUse(request.id(), request.parts())) {
                return null;
            }
            Query query = requests.create(request, lock.newCondition());
            long number = requests.add(query);
            driver.run(() -> reportArrival(request, query, number));
            return query;
        } finally {
            lock.unlock();
        }
    }

    private void reportArrival(QueryRequest request, Query query, long number) {
        RoutingPolicy policy = driver.policy();
        List<Query.PartRequest> parts = request.parts();
        policy.onQueryArrived(driver.now(), new QueryArrived(request.id(), number, request.queryClass(), 0, null,
                query.deadline(), Absent.VALUE, parts.size(), request.retry(), request.idempotencyKey() != null,
                request.decidingValue() != null));
        for (int i = 0; i < parts.size(); i++) {
            Query.PartRequest part = parts.get(i);
            policy.onPartArrived(driver.now(), new PartArrived(query.parts.get(i).id, number, part.shard(),
                    part.weight(), part.workHint()));
        }
    }

    /** Waits for the next step of this query. A {@link Step.FinalStep} is the last one. */
    public Step awaitStep(Query query) throws InterruptedException {
        lock.lock();
        try {
            while (true) {
                Step step = attempts.nextStep(query);
                if (step != null) {
                    return step;
                }
                if (query.finalStep == null) {
                    awaitChange(query);
                } else if (!attempts.cancelInFlight(query)) {
                    return query.finalStep;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the query may have a step; fails the query if the policy has not ended it by its deadline. */
    @SuppressWarnings("WaitNotInLoop") // the caller checks the condition again in a loop
    private void awaitChange(Query query) throws InterruptedException {
        long remaining = query.deadline() + OVERDUE_MICROS - now();
        if (remaining > 0) {
            query.stepAvailable.await(remaining, TimeUnit.MICROSECONDS);
            return;
        }
        log.info("query overdue, failing it: query={}", query.id);
        driver.run(() -> driver.policy().onClientDisconnected(driver.now(), query.id));
        requests.finish(query, new Step.Fail(true, query.mayHaveRun()));
    }

    /** Records that the client of this query has disconnected, and ends the query. */
    public void clientDisconnected(Query query) {
        query.clientDisconnected = true;
        lock.lock();
        try {
            if (query.finalStep == null) {
                driver.run(() -> driver.policy().onClientDisconnected(driver.now(), query.id));
                requests.finish(query, new Step.ClientGone());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs a query to its end: hands its steps to the transport and returns the final step. */
    public Step.FinalStep run(Query query, WorkerTransport transport) throws InterruptedException {
        boolean finished = false;
        try {
            while (true) {
                Step step = awaitStep(query);
                if (step instanceof Step.FinalStep finalStep) {
                    finished = true;
                    return finalStep;
                }
                handOver(step, transport);
            }
        } finally {
            if (!finished) { // an exception ends this thread: the steps that remain are still handed over
                clientDisconnected(query);
                for (Step step = pollStep(query); step != null; step = pollStep(query)) {
                    handOver(step, transport);
                }
            }
        }
    }

    private static void handOver(Step step, WorkerTransport transport) {
        if (step instanceof Step.Send send) {
            transport.send(send);
        } else if (step instanceof Step.Cancel cancel) {
            transport.cancel(cancel);
        }
    }

    private Step pollStep(Query query) {
        lock.lock();
        try {
            return attempts.nextStep(query);
        } finally {
            lock.unlock();
        }
    }

    // ---- attempts -----------------------------------------------------------------------------------------

    /** Counts attempts that were written completely to their worker. */
    public void recordSent(List<Attempt> sent) {
        sent.forEach(attempt -> metrics.addAttempts(attempt.query.className, 1));
    }

    /**
     * Reports the end of an attempt. Only the first report of an attempt counts.
     *
     * @param value the value from the worker; null unless the outcome is {@link AttemptOutcome#SERVED}
     */
    public void report(Attempt attempt, AttemptOutcome outcome, byte[] value) {
        lock.lock();
        try {
            driver.run(() -> attempts.end(attempt, outcome, value));
        } finally {
            lock.unlock();
        }
    }

    /** Reports in one round that several attempts ended without a value, for example because a connection broke. */
    public void report(Map<Attempt, AttemptOutcome> ended) {
        lock.lock();
        try {
            driver.run(() -> ended.forEach((attempt, outcome) -> attempts.end(attempt, outcome, null)));
        } finally {
            lock.unlock();
        }
    }

    // ---- time ---------------------------------------------------------------------------------------------

    /** Waits for the next timer, at most this many milliseconds, and runs the timers that are due. */
    public void tick(long maxWaitMillis) throws InterruptedException {
        lock.lock();
        try {
            timers.awaitDue(TimeUnit.MILLISECONDS.toMicros(maxWaitMillis), clock);
            if (timers.hasDue(now())) {
                driver.run(attempts::runDueTimers);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs timers until the thread is interrupted. */
    public void runTimers() {
        try {
            while (true) {
                tick(MAX_TIMER_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- statistics ---------------------------------------------------------------------------------------

    /** Returns the number of queries that have no final step yet. */
    public int openQueries() {
        lock.lock();
        try {
            return requests.openQueries();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of queries without a final step plus their parts, which {@code Limits.MaxOpen} bounds. */
    public int openQueriesAndParts() {
        lock.lock();
        try {
            return requests.openQueriesAndParts();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of retained queries, parts and timeouts: 0 once all queries and attempts have ended. */
    int retainedEntries() {
        lock.lock();
        try {
            return requests.retainedEntries() + timers.attemptTimeouts();
        } finally {
            lock.unlock();
        }
    }
}
