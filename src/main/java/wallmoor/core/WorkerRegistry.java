package wallmoor.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.core.WorkerEndpoint.EndpointState;
import wallmoor.decision.Absent;
import wallmoor.decision.WorkerListEntry;
import wallmoor.decision.WorkerStatus;

/**
 * The workers of the endpoint list and the ids that operators banned. A ban overrides the list and applies to an id
 * whether or not the list contains it. Guarded by the gatherer's lock; transports read {@link Worker} without the lock,
 * so a worker that stays in the list must not appear as removed during an update.
 */
final class WorkerRegistry {
    /** The number of removed workers that operators may still refer to; enough for a rollout across a large fleet. */
    private static final int MAX_FORMER_IDS = 512;

    private final Map<String, Worker> workers = new HashMap<>();
    private final Set<String> bannedIds = new HashSet<>();
    /** The ids that were removed from the list, the earliest first. */
    private final Set<String> formerIds = new LinkedHashSet<>();

    /** Returns the worker with this id, or null if the list does not contain it. */
    Worker get(String id) {
        return workers.get(id);
    }

    /** Returns whether the list contains or recently contained this worker, or an operator banned it. */
    boolean isKnown(String id) {
        return workers.containsKey(id) || formerIds.contains(id) || bannedIds.contains(id);
    }

    /** Returns the number of workers in the list. */
    int size() {
        return workers.size();
    }

    /** Returns the number of workers in the list that operators banned. */
    int bannedCount() {
        int count = 0;
        for (String id : bannedIds) {
            count += workers.containsKey(id) ? 1 : 0;
        }
        return count;
    }

    /** Bans a worker or lifts its ban; returns whether that changed anything. */
    boolean setBanned(String id, boolean banned) {
        return banned ? bannedIds.add(id) : bannedIds.remove(id);
    }

    /**
     * Returns the endpoints of an update in their order. If an id occurs more than once, only its last entry counts, so
     * that a worker that stays removed never appears as serving during the update.
     */
    static Collection<WorkerEndpoint> latestPerWorker(List<WorkerEndpoint> endpoints) {
        var byId = new LinkedHashMap<String, WorkerEndpoint>();
        for (WorkerEndpoint endpoint : endpoints) {
            byId.put(endpoint.id(), endpoint);
        }
        return byId.values();
    }

    /** Removes the workers that a complete list does not contain. An attempt in flight keeps its worker. */
    void retainOnly(Collection<WorkerEndpoint> completeList) {
        var ids = new HashSet<String>();
        for (WorkerEndpoint endpoint : completeList) {
            ids.add(endpoint.id());
        }
        for (Iterator<Worker> iterator = workers.values().iterator(); iterator.hasNext();) {
            Worker worker = iterator.next();
            if (!ids.contains(worker.id())) {
                markRemoved(worker);
                iterator.remove();
            }
        }
    }

    /**
     * Stores endpoints, including removed ones until {@link #discardRemoved}, and returns them in the form that the
     * routing policy takes.
     */
    List<WorkerListEntry> update(Collection<WorkerEndpoint> endpoints) {
        var entries = new ArrayList<WorkerListEntry>();
        for (WorkerEndpoint endpoint : endpoints) {
            boolean banned = bannedIds.contains(endpoint.id());
            workers.computeIfAbsent(endpoint.id(), Worker::new).update(endpoint, banned);
            entries.add(toListEntry(endpoint, banned));
        }
        return entries;
    }

    private static WorkerListEntry toListEntry(WorkerEndpoint endpoint, boolean banned) {
        WorkerStatus state = switch (endpoint.state()) {
            case SERVING -> banned ? WorkerStatus.DRAINING : WorkerStatus.UP;
            case DRAINING -> WorkerStatus.DRAINING;
            case GONE -> WorkerStatus.REMOVED;
        };
        long upSince = endpoint.upSince() <= 0 ? Absent.VALUE : endpoint.upSince();
        return new WorkerListEntry(endpoint.id(), endpoint.zone(), endpoint.kind(), endpoint.cell(), state,
                endpoint.size(), upSince);
    }

    /** Removes the workers that an update marks as gone; called after the routing policy was notified. */
    void discardRemoved(Collection<WorkerEndpoint> endpoints) {
        for (WorkerEndpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                markRemoved(workers.remove(endpoint.id()));
            }
        }
    }

    private void markRemoved(Worker worker) {
        worker.markRemoved();
        formerIds.remove(worker.id());
        formerIds.add(worker.id());
        if (formerIds.size() > MAX_FORMER_IDS) {
            formerIds.remove(formerIds.iterator().next());
        }
    }
}
