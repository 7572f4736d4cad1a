package wallmoor.sources;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.core.Gatherer;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.EndpointChange;
import wallmoor.endpoints.EndpointRegistry;
import wallmoor.endpoints.EndpointStatus;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.RejectedWatchEventException;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.SourceStatus;
import wallmoor.endpoints.WatchEvent;
import wallmoor.threads.Threads;

/**
 * Applies the sources' watch events to the registry, and publishes the registry's changes to the gatherer that uses
 * these endpoints. Events are applied one after another under this object's lock. No thread may acquire this lock while
 * it holds the gatherer's.
 */
public final class EndpointUpdater {
    private static final long SYNC_POLL_MILLIS = 10;
    private static final long MIN_SLEEP_MILLIS = 5;
    private static final long MAX_SLEEP_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Logger log = LoggerFactory.getLogger(EndpointUpdater.class);
    private final LongSupplier clock;
    private final Gatherer gatherer;
    private final List<EndpointSource> sources;
    private final EndpointRegistry registry;
    private final ChangePublisher publisher;
    /**
     * The sources that have reported. Initial endpoints of the endpoint list don't count, as they come from the
     * configuration and may be old.
     */
    private final Set<String> syncedSources = new HashSet<>();

    /**
     * Creates an updater, which publishes nothing before {@link #start}.
     *
     * @param clock the gatherer's clock, in microseconds
     */
    public EndpointUpdater(RegistryPolicy policy, LongSupplier clock, Gatherer gatherer,
            List<EndpointSource> sources) {
        this.clock = clock;
        this.gatherer = gatherer;
        this.sources = List.copyOf(sources);
        registry = new EndpointRegistry(policy);
        publisher = new ChangePublisher(gatherer);
    }

    /** Starts the gatherer with the sources' initial endpoints, and then the sources. */
    public void start() {
        var initial = new ArrayList<WorkerEndpoint>();
        for (EndpointSource source : sources) {
            applyInitial(source, initial);
        }
        gatherer.control().start(initial);
        if (!hasEndpointList()) {
            gatherer.control().updateEndpoints(false, List.of()); // the decision module need not wait for a list
        }
        if (sources.size() > 1 || !hasEndpointList()) { // the endpoint list alone needs no timers
            Threads.startEssential("endpoint-timers", this::runTimers);
            new SuspectProber(this::suspectedAddresses, this::reportConnection).start();
        }
        for (EndpointSource source : sources) {
            source.start(this::apply);
        }
    }

    private synchronized void applyInitial(EndpointSource source, List<WorkerEndpoint> initial) {
        List<SourceEndpoint> initialEndpoints = source.initialEndpoints();
        if (initialEndpoints.isEmpty()) {
            return;
        }
        if (!isEndpointList(source.name())) {
            syncedSources.add(source.name());
        }
        var snapshot = new WatchEvent.EndpointSnapshot(source.name(), "startup", initialEndpoints, true);
        for (EndpointChange change : registry.apply(clock.getAsLong(), snapshot)) {
            initial.add(change.endpoint());
        }
    }

    private boolean hasEndpointList() {
        for (EndpointSource source : sources) {
            if (isEndpointList(source.name())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isEndpointList(String source) {
        return source.equals(EndpointSource.ENDPOINT_LIST);
    }

    /** Applies a watch event. An event that the registry rejects is logged, and counts as a failure of its source. */
    public synchronized void apply(WatchEvent event) {
        List<EndpointChange> changes;
        try {
            changes = registry.apply(clock.getAsLong(), event);
        } catch (RejectedWatchEventException e) {
            log.warn("watch event rejected: source={} error={}", event.source(), e.getMessage());
            var failure = new WatchEvent.SourceFailure(event.source(), e.getMessage());
            publisher.publish(registry.apply(clock.getAsLong(), failure), false);
            return;
        }
        if (!(event instanceof WatchEvent.SourceFailure)) {
            syncedSources.add(event.source());
        }
        boolean reportsEndpoints = event instanceof WatchEvent.EndpointSnapshot
                || event instanceof WatchEvent.EndpointDelta;
        publisher.publish(changes, reportsEndpoints && isEndpointList(event.source()));
    }

    /**
     * Records the result of a connection attempt to an endpoint.
     *
     * @param up whether the connection was established
     */
    public synchronized void reportConnection(String id, boolean up) {
        publisher.publish(registry.reportConnection(clock.getAsLong(), id, up), false);
    }

    private synchronized Map<String, String> suspectedAddresses() {
        return registry.suspectedAddresses();
    }

    /** Returns all known endpoints with the causes of their states. */
    public synchronized List<EndpointStatus> endpointStatuses() {
        return registry.endpointStatuses();
    }

    /** Returns the status of each source. */
    public synchronized List<SourceStatus> sourceStatuses() {
        return registry.sourceStatuses();
    }

    /** Returns whether every source has reported. */
    public synchronized boolean allSourcesSynced() {
        return syncedSources.size() == sources.size();
    }

    /**
     * Waits until every source has reported.
     *
     * @param millis the longest wait in milliseconds
     * @return whether every source has reported
     */
    public boolean awaitSync(long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!allSourcesSynced() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(SYNC_POLL_MILLIS); // polls, as a wait on the lock would be delayed while changes are published
        }
        return allSourcesSynced();
    }

    private synchronized void tick() {
        publisher.publish(registry.tick(clock.getAsLong()), false);
    }

    private synchronized long millisToNextTick() {
        return (registry.nextTickAt() - clock.getAsLong()) / MICROS_PER_MILLI;
    }

    private void runTimers() {
        try {
            while (true) {
                Thread.sleep(Math.max(MIN_SLEEP_MILLIS, Math.min(MAX_SLEEP_MILLIS, millisToNextTick())));
                tick();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
