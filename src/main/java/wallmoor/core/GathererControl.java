package wallmoor.core;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import wallmoor.decision.RoutingSettings;
import wallmoor.decision.WorkerListKind;

/**
 * The control side of a {@link Gatherer}: the endpoint list and its watch, bans by operators, settings. Every call
 * takes the gatherer's lock, and is a round of the routing policy where it tells the policy anything.
 */
public final class GathererControl {
    /**
     * Workers in the endpoint list, and those of them that get no queries: banned by an operator or ejected by the
     * policy.
     */
    public record WorkerCounts(int known, int excluded) {}

    private final ReentrantLock lock;
    private final LongSupplier clock;
    private final PolicyDriver driver;
    private final PolicyActions actions;
    private final OpenRequests requests;
    private final WorkerRegistry workers;
    private final WatchDemand watch;

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

    // ---- the endpoint list --------------------------------------------------------------------------------

    /** Starts the policy on the endpoint list as it was known last. */
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

    /** The endpoint list has changed: all of it follows, or the changed endpoints alone. */
    public void updateEndpoints(boolean complete, List<WorkerEndpoint> endpoints) {
        lock.lock();
        try {
            driver.run(() -> apply(complete ? WorkerListKind.COMPLETE : WorkerListKind.CHANGES, endpoints));
        } finally {
            lock.unlock();
        }
    }

    /** Some endpoints have changed, as is known from elsewhere than the list. */
    public void mergeEndpoints(List<WorkerEndpoint> endpoints) {
        lock.lock();
        try {
            driver.run(() -> apply(WorkerListKind.ADDITIONAL, endpoints));
        } finally {
            lock.unlock();
        }
    }

    private void apply(WorkerListKind kind, List<WorkerEndpoint> update) {
        Collection<WorkerEndpoint> endpoints = WorkerRegistry.lastOfEach(update);
        if (kind == WorkerListKind.COMPLETE || kind == WorkerListKind.CACHED) {
            workers.retainOnly(endpoints);
        }
        driver.policy().onWorkerList(driver.now(), kind, workers.update(endpoints));
        workers.discardRemoved(endpoints);
    }

    // ---- the list's watch ---------------------------------------------------------------------------------

    /** The endpoint list's watch has ended or never came up; the policy says when to ask for one again. */
    public void watchFailed() {
        lock.lock();
        try {
            watch.clear();
            driver.run(() -> driver.policy().onWorkerList(driver.now(), WorkerListKind.WATCH_FAILED, List.of()));
        } finally {
            lock.unlock();
        }
    }

    /** A sound watch has broken and its owner reconnects; the policy is told only if that fails. */
    public void watchReconnecting() {
        lock.lock();
        try {
            watch.clear();
        } finally {
            lock.unlock();
        }
    }

    /** The endpoint list is served elsewhere: a watch is asked for at once, whatever backoff the policy had in mind. */
    public void requestWatch() {
        lock.lock();
        try {
            watch.request();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until a watch of the endpoint list is asked for, at most until then. The lock is released meanwhile.
     *
     * @param until microseconds on the gatherer's clock; {@link Long#MAX_VALUE} for no limit
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

    /** Excludes a worker from now on, whatever the list says of it, or takes the list at its word again. */
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

    /** Whether the list names this worker, or named it lately, or an operator banned it. */
    public boolean isKnownWorker(String id) {
        lock.lock();
        try {
            return workers.isKnown(id);
        } finally {
            lock.unlock();
        }
    }

    /** Counts the workers. */
    public WorkerCounts workerCounts() {
        lock.lock();
        try {
            return new WorkerCounts(workers.size(), (int) (workers.bannedCount() + driver.policy().ejectedWorkers()));
        } finally {
            lock.unlock();
        }
    }

    // ---- settings -----------------------------------------------------------------------------------------

    /**
     * Changes the settings; what is under way goes on with the class that it came with.
     *
     * @param classNames the names of the query classes, by index
     * @param vanished   indexes of classes that are no longer in force
     * @throws IllegalArgumentException if the settings contradict themselves; nothing has changed then
     */
    public void updateSettings(RoutingSettings next, List<String> classNames, Set<Integer> vanished) {
        lock.lock();
        try {
            driver.policy().onSettingsChanged(driver.advance(), next, vanished);
            requests.setClassNames(classNames);
            actions.setMaxAttemptsPerCall(next.limits().maxBatch());
        } finally {
            lock.unlock();
        }
    }

    /** So many gatherers share load and quotas from now on, and this is the index of this one among them, from 0. */
    public void setFleetPosition(int gatherers, int index) {
        lock.lock();
        try {
            driver.policy().onGatherersChanged(gatherers, index);
        } finally {
            lock.unlock();
        }
    }
}
