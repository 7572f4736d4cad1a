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
 * Logs the registry's changes and passes them to a gatherer, in batches: the gatherer's lock is held for only a few
 * endpoints at a time, so that queries continue while thousands are refreshed. Not safe for concurrent use.
 */
final class ChangePublisher {
    /** Endpoints passed on each time the gatherer's lock is held, which takes some tens of microseconds. */
    private static final int BATCH_ENDPOINTS = 32;
    /** Pause between two batches; without it, other threads would not get the lock, which is not fair. */
    private static final long BATCH_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
    /** Beyond this many changes only their number is logged at INFO, and each change at DEBUG, to limit the log. */
    private static final int MAX_CHANGES_LOGGED_EACH = 10;

    private final Logger log = LoggerFactory.getLogger(ChangePublisher.class);
    private final Gatherer gatherer;

    ChangePublisher(Gatherer gatherer) {
        this.gatherer = gatherer;
    }

    /**
     * Logs the changes and passes them on.
     *
     * @param isFromEndpointList whether the endpoint list reported them; the decision module must then be called even
     *                           if nothing has changed
     */
    void publish(List<EndpointChange> changes, boolean isFromEndpointList) {
        logChanges(changes);
        List<WorkerEndpoint> endpoints = notServingFirst(changes);
        if (isFromEndpointList) {
            gatherer.control().updateEndpoints(false,
                    endpoints.subList(0, Math.min(BATCH_ENDPOINTS, endpoints.size())));
        }
        for (int from = isFromEndpointList ? BATCH_ENDPOINTS : 0; from < endpoints.size(); from += BATCH_ENDPOINTS) {
            if (from > 0) {
                LockSupport.parkNanos(BATCH_PAUSE_NANOS);
            }
            gatherer.control().mergeEndpoints(
                    endpoints.subList(from, Math.min(endpoints.size(), from + BATCH_ENDPOINTS)));
        }
    }

    private void logChanges(List<EndpointChange> changes) {
        boolean isEachLogged = changes.size() <= MAX_CHANGES_LOGGED_EACH;
        int notServingCount = 0;
        for (EndpointChange change : changes) {
            WorkerEndpoint endpoint = change.endpoint();
            if (isEachLogged) {
                log.atInfo().addKeyValue("node", endpoint.id()).addKeyValue("state", endpoint.state())
                        .log("endpoint state changed: node={} state={} cause={}", endpoint.id(), endpoint.state(),
                                change.cause());
            } else {
                log.debug("endpoint state changed: node={} state={} cause={}", endpoint.id(), endpoint.state(),
                        change.cause());
            }
            notServingCount += endpoint.state() == WorkerEndpoint.EndpointState.SERVING ? 0 : 1;
        }
        if (!isEachLogged) {
            log.info("endpoint states changed: count={} not_serving={} first_cause={}", changes.size(), notServingCount,
                    changes.get(0).cause());
        }
    }

    /** Returns the changed endpoints, first those that no longer serve, so that new endpoints don't delay them. */
    private static List<WorkerEndpoint> notServingFirst(List<EndpointChange> changes) {
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
