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
 * and run the timers. What changes the endpoint list, bans and settings stands in {@link #control}.
 *
 * <p>One lock guards the policy and all tables of this package. It is held for a decision, never for I/O; whoever waits
 * on one of its conditions releases it. Each call is a round of its own: what the policy decides is there when the call
 * returns. Read without the lock are {@link Worker#isServing} and {@link Worker#address}, and what
 * {@link Attempt#checkPermission} reads of a query and an attempt, since it is asked at the moment of writing.
 */
public final class Gatherer {
    /** How long past its deadline a query is left to the policy before it is failed here (microseconds). */
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
     * Makes a gatherer with metrics of its own and without names of query classes.
     *
     * @param clock microseconds of Unix time that only go forward
     * @param log   where lines of the policy go
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Gatherer(RoutingSettings settings, long seed, LongSupplier clock, Logger log) {
        this(settings, List.of(), seed, clock, log, new GathererMetrics());
    }

    /**
     * Makes a gatherer.
     *
     * @param classNames the names that the metrics give the query classes, by their index in the settings
     * @param clock      microseconds of Unix time that only go forward
     * @param log        where lines of the policy go
     * @param metrics    counts what becomes of queries
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Gatherer(RoutingSettings settings, List<String> classNames, long seed, LongSupplier clock, Logger log,
            GathererMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        requests = new OpenRequests(metrics, classNames);
        var workers = new WorkerRegistry();
        var watch = new WatchDemand(lock.newCondition());
        var round = new RoundState();
        var actions = new PolicyActions(round, requests, workers, timers, watch, log);
        actions.setMaxAttemptsPerCall(settings.limits().maxBatch());
        driver = new PolicyDriver(new RoutingPolicy(settings, seed, actions), round, clock, log);
        attempts = new AttemptLifecycle(driver, round, requests, timers, clock);
        control = new GathererControl(lock, clock, driver, actions, requests, workers, watch);
    }

    /** The control side: the endpoint list, bans and settings. */
    public GathererControl control() {
        return control;
    }

    /** Microseconds on the clock that deadlines are given on. */
    public long now() {
        return clock.getAsLong();
    }

    // ---- queries ------------------------------------------------------------------------------------------

    /**
     * Opens a query; its thread then calls {@link #awaitStep} until a final step comes.
     *
     * @param deadline   when its client gives up, on the gatherer's clock
     * @param retry      whether its client says that it asked before
     * @param attachment what the front's transport needs of it
     * @return null if a query of this id is open, or parts of an earlier one are still in flight: a worker would take
     *         the new ones for hedged requests
     */
    public Query open(String id, int queryClass, long deadline, boolean retry, List<Query.PartRequest> parts,
            Object attachment) {
        lock.lock();
        try {
            if (requests.isInUse(id, parts)) {
                return null;
            }
            var query = new Query(id, requests.className(queryClass), deadline, attachment, lock.newCondition());
            query.addParts(parts);
            long number = requests.add(query);
            driver.run(() -> {
                RoutingPolicy policy = driver.policy();
                policy.onQueryArrived(driver.now(), new QueryArrived(id, number, queryClass, 0, null, deadline,
                        Absent.VALUE, parts.size(), retry));
                for (int i = 0; i < parts.size(); i++) {
                    Query.PartRequest part = parts.get(i);
                    policy.onPartArrived(driver.now(), new PartArrived(query.parts.get(i).id, number, part.shard(),
                            part.weight(), part.workHint()));
                }
            });
            return query;
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the next step of this query. After a {@link Step.FinalStep} none comes. */
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

    /** Waits until the query may have a step; fails it if the policy has not ended it by its deadline. */
    @SuppressWarnings("WaitNotInLoop") // the caller's loop looks again
    private void awaitChange(Query query) throws InterruptedException {
        long left = query.deadline + OVERDUE_MICROS - now();
        if (left > 0) {
            query.stepAvailable.await(left, TimeUnit.MICROSECONDS);
            return;
        }
        log.info("query {} is overdue", query.id);
        driver.run(() -> driver.policy().onClientDisconnected(driver.now(), query.id));
        requests.finish(query, new Step.Fail(true, query.mayHaveRun()));
    }

    /** The client of this query has disconnected. */
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

    /** Runs a query to its end: hands its steps to the transport and returns the final one. */
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
            if (!finished) { // an exception ended this thread: what the policy decided is still carried out
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

    /** These attempts were written completely to their worker. */
    public void recordSent(List<Attempt> sent) {
        sent.forEach(attempt -> metrics.addAttempts(attempt.query.className, 1));
    }

    /**
     * An attempt has ended. Only its first report counts.
     *
     * @param value what the worker gave; null unless it was served
     */
    public void report(Attempt attempt, AttemptOutcome outcome, byte[] value) {
        lock.lock();
        try {
            driver.run(() -> attempts.end(attempt, outcome, value));
        } finally {
            lock.unlock();
        }
    }

    /** Several attempts have ended at once without a value, as when their connection broke: one round. */
    public void report(Map<Attempt, AttemptOutcome> ended) {
        lock.lock();
        try {
            driver.run(() -> ended.forEach((attempt, outcome) -> attempts.end(attempt, outcome, null)));
        } finally {
            lock.unlock();
        }
    }

    // ---- time ---------------------------------------------------------------------------------------------

    /** Waits for the next timer, at most so many milliseconds, and runs what is due. */
    public void tick(long atMostMillis) throws InterruptedException {
        lock.lock();
        try {
            timers.awaitDue(TimeUnit.MILLISECONDS.toMicros(atMostMillis), clock);
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

    /** The number of queries that have no final step yet. */
    public int openQueries() {
        lock.lock();
        try {
            return requests.openQueries();
        } finally {
            lock.unlock();
        }
    }

    /** The number of queries that have no final step yet, and of their parts: what {@code Limits.MaxOpen} bounds. */
    public int openQueriesAndParts() {
        lock.lock();
        try {
            return requests.openQueriesAndParts();
        } finally {
            lock.unlock();
        }
    }

    /** Queries, parts and timeouts that are kept: 0 once all queries and attempts have ended. */
    int retainedEntries() {
        lock.lock();
        try {
            return requests.retainedEntries() + timers.attemptTimeouts();
        } finally {
            lock.unlock();
        }
    }
}
