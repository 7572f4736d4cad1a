package wallmoor.sources;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.core.Gatherer;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.EndpointChange;

/**
 * Logs the registry's changes and hands them to a gatherer. The gatherer's lock is asked for a few endpoints at a time,
 * so that queries go on while thousands are refreshed. One caller at a time.
 */
final class ChangePublisher {
    /** Changes handed on under one hold of the gatherer's lock: some tens of microseconds. */
    private static final int BATCH = 32;
    /** Between two batches: the lock is not a fair one, and whoever waits for it would not get it otherwise. */
    private static final long BATCH_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
    /** Of a larger change each cause would drown the log: their number is logged, and each at the level DEBUG. */
    private static final int MAX_LOGGED_EACH = 10;

    private final Logger log = LoggerFactory.getLogger(ChangePublisher.class);
    private final Gatherer gatherer;

    ChangePublisher(Gatherer gatherer) {
        this.gatherer = gatherer;
    }

    /**
     * Logs the changes and hands them on.
     *
     * @param fromList whether the endpoint list reported them: the decision module counts on hearing from it, be it
     *                 that nothing has changed
     */
    void publish(List<EndpointChange> changes, boolean fromList) {
        logChanges(changes);
        List<WorkerEndpoint> endpoints = drainsFirst(changes);
        if (fromList) {
            gatherer.control().updateEndpoints(false, endpoints.subList(0, Math.min(BATCH, endpoints.size())));
        }
        for (int from = fromList ? BATCH : 0; from < endpoints.size(); from += BATCH) {
            if (from > 0) {
                LockSupport.parkNanos(BATCH_PAUSE_NANOS);
            }
            gatherer.control().mergeEndpoints(endpoints.subList(from, Math.min(endpoints.size(), from + BATCH)));
        }
    }

    private void logChanges(List<EndpointChange> changes) {
        boolean each = changes.size() <= MAX_LOGGED_EACH;
        int notServing = 0;
        for (EndpointChange change : changes) {
            WorkerEndpoint endpoint = change.endpoint();
            if (each) {
                log.atInfo().addKeyValue("node", endpoint.id()).addKeyValue("state", endpoint.state())
                        .log("{} is {}: {}", endpoint.id(), endpoint.state(), change.cause());
            } else {
                log.debug("{} is {}: {}", endpoint.id(), endpoint.state(), change.cause());
            }
            notServing += endpoint.state() == WorkerEndpoint.EndpointState.SERVING ? 0 : 1;
        }
        if (!each) {
            log.info("{} nodes changed, {} of them no longer serve; the first: {}", changes.size(), notServing,
                    changes.get(0).cause());
        }
    }

    /** The changed endpoints, those that cease to serve before all else: nothing that comes may make them wait. */
    private static List<WorkerEndpoint> drainsFirst(List<EndpointChange> changes) {
        var endpoints = new ArrayList<WorkerEndpoint>(changes.size());
        for (EndpointChange change : changes) {
            if (change.endpoint().state() != WorkerEndpoint.EndpointState.SERVING) {
                endpoints.add(change.endpoint());
            }
        }
        for (EndpointChange change : changes) {
            if (change.endpoint().state() == WorkerEndpoint.EndpointState.SERVING) {
                endpoints.add(change.endpoint());
            }
        }
        return endpoints;
    }
}
