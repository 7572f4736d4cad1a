package wallmoor.core;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import wallmoor.decision.RoutingSettings;
import wallmoor.decision.WorkerListKind;

/**
 * The control side of a {@link Gatherer}: the endpoint list and its watch, bans by operators, and settings. Every call
 * takes the gatherer's lock; calls that pass changes to the routing policy run as a round of the policy.
 */
public final class GathererControl {
    /**
     * The number of workers.
     *
     * @param known    workers in the endpoint list
     * @param excluded those of them that get no queries, because an operator banned them or the policy ejected them
     */
    public record WorkerCounts(int known, int excluded) {}

    private final ReentrantLock lock;
    private final LongSupplier clock;
    private final PolicyDriver driver;
    private final PolicyActions actions;
    private final OpenRequests requests;
    private final WorkerRegistry workers;
    private final WatchDemand watch;
    private volatile QueryIdClaims idClaims = QueryIdClaims.NONE;

    GathererControl(ReentrantLock lock, LongSupplier clock, PolicyDriver driver, PolicyActions actions,
            OpenRequests requests, WorkerRegistry workers, WatchDemand watch) {
        this.lock = lock;
        this.clock = clock;
        this.driver = driver;
        this.actions = actions;
        this.requests = requests;
        this.workers = workers;
        this.watch = watch;
    }

    // ---- the ids of queries -------------------------------------------------------------------------------

    /** Sets how ids are claimed among the processes of this gatherer. */
    public void setIdClaims(QueryIdClaims claims) {
        idClaims = claims;
    }

    QueryIdClaims idClaims() {
        return idClaims;
    }

    /** Returns the ids of the queries, open or recently ended, of which a part must not run twice. */
    public List<String> singleRunIds() {
        lock.lock();
        try {
            return requests.singleRunIds();
        } finally {
            lock.unlock();
        }
    }

    // ---- the endpoint list --------------------------------------------------------------------------------

    /** Starts the policy with the last known endpoint list. */
    public void start(List<WorkerEndpoint> lastKnown) {
        lock.lock();
        try {
            driver.run(() -> {
                driver.policy().onStart(driver.now());
                apply(WorkerListKind.CACHED, lastKnown);
            });
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param complete  whether the update is the complete list, rather than the changed endpoints only
     * @param endpoints the endpoints of the update
     */
    public void updateEndpoints(boolean complete, List<WorkerEndpoint> endpoints) {
        lock.lock();
        try {
            driver.run(() -> apply(complete ? WorkerListKind.COMPLETE : WorkerListKind.CHANGES, endpoints));
        } finally {
            lock.unlock();
        }
    }

    /** Applies changes of endpoints that come from another source than the watched list. */
    public void mergeEndpoints(List<WorkerEndpoint> endpoints) {
        lock.lock();
        try {
            driver.run(() -> apply(WorkerListKind.ADDITIONAL, endpoints));
        } finally {
            lock.unlock();
        }
    }

    private void apply(WorkerListKind kind, List<WorkerEndpoint> update) {
        Collection<WorkerEndpoint> endpoints = WorkerRegistry.latestPerWorker(update);
        if (kind == WorkerListKind.COMPLETE || kind == WorkerListKind.CACHED) {
            workers.retainOnly(endpoints);
        }
        driver.policy().onWorkerList(driver.now(), kind, workers.update(endpoints));
        workers.discardRemoved(endpoints);
    }

    // ---- the list's watch ---------------------------------------------------------------------------------

    /** Records that the watch of the endpoint list failed or ended; the policy decides when to request the next one. */
    public void watchFailed() {
        lock.lock();
        try {
            watch.clear();
            driver.run(() -> driver.policy().onWorkerList(driver.now(), WorkerListKind.WATCH_FAILED, List.of()));
        } finally {
            lock.unlock();
        }
    }

    /** Records that a working watch broke and its owner reconnects; the policy is notified only if that fails. */
    public void watchReconnecting() {
        lock.lock();
        try {
            watch.clear();
        } finally {
            lock.unlock();
        }
    }

    /** Requests a watch at once, regardless of the policy's backoff; called when the endpoint list has a new server. */
    public void requestWatch() {
        lock.lock();
        try {
            watch.request();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until a watch of the endpoint list is requested. The lock is released meanwhile.
     *
     * @param until the end of the wait, microseconds on the gatherer's clock; {@link Long#MAX_VALUE} for no limit
     */
    public void awaitWatchRequest(long until) throws InterruptedException {
        lock.lock();
        try {
            watch.await(until, clock);
        } finally {
            lock.unlock();
        }
    }

    // ---- bans ---------------------------------------------------------------------------------------------

    /** Bans a worker, which excludes it whatever state the endpoint list gives, or lifts its ban. */
    public void setBanned(String id, boolean banned) {
        lock.lock();
        try {
            Worker worker = workers.get(id);
            if (workers.setBanned(id, banned) && worker != null) {
                driver.run(() -> apply(WorkerListKind.ADDITIONAL, List.of(worker.endpoint())));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the endpoint list contains or recently contained this worker, or an operator banned it. */
    public boolean isKnownWorker(String id) {
        lock.lock();
        try {
            return workers.isKnown(id);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of known and of excluded workers. */
    public WorkerCounts workerCounts() {
        lock.lock();
        try {
            return new WorkerCounts(workers.size(), (int) (workers.bannedCount() + driver.policy().ejectedWorkers()));
        } finally {
            lock.unlock();
        }
    }

    // ---- shutdown -----------------------------------------------------------------------------------------

    /**
     * Gives each query its final step by this time at the latest, whether it is open or is opened later, because the
     * process ends afterwards.
     *
     * @param latest microseconds on the gatherer's clock
     */
    public void limitDeadlines(long latest) {
        lock.lock();
        try {
            requests.limitDeadlines(latest);
            driver.run(() -> driver.policy().onDeadlinesLimited(driver.now(), latest));
        } finally {
            lock.unlock();
        }
    }

    // ---- settings -----------------------------------------------------------------------------------------

    /**
     * Changes the settings; open queries keep the class that they were opened with.
     *
     * @param classNames     the names of the query classes, by index
     * @param removedClasses the indexes of classes that are no longer in force
     * @throws IllegalArgumentException if the settings contradict themselves; then nothing has changed
     */
    public void updateSettings(RoutingSettings next, List<String> classNames, Set<Integer> removedClasses) {
        lock.lock();
        try {
            driver.policy().onSettingsChanged(driver.advance(), next, removedClasses);
            requests.setClasses(classNames, next.classes());
            actions.setMaxAttemptsPerCall(next.limits().maxBatch());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets how many gatherers share load and quotas from now on.
     *
     * @param gatherers the number of gatherers
     * @param index     the index of this gatherer among them, from 0
     */
    public void setFleetPosition(int gatherers, int index) {
        lock.lock();
        try {
            driver.policy().onGatherersChanged(gatherers, index);
        } finally {
            lock.unlock();
        }
    }
}
