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
 * The workers that the endpoint list names, and those that operators banned: a ban overrides the list, and holds for an
 * id whether or not the list names it. Guarded by the gatherer's lock; who writes to workers looks at {@link Worker}
 * without it, so a worker that stays in the list must not seem to be gone even for a moment.
 */
final class WorkerRegistry {
    /** Ids remembered of workers that left, so that an operator may still name one: a release of a large fleet. */
    private static final int MAX_FORMER_IDS = 512;

    private final Map<String, Worker> workers = new HashMap<>();
    private final Set<String> bannedIds = new HashSet<>();
    /** Ids that have left the list, the earliest first. */
    private final Set<String> formerIds = new LinkedHashSet<>();

    /** The worker of this id, or null if the list does not name it. */
    Worker get(String id) {
        return workers.get(id);
    }

    /** Whether the list names this worker or named it lately, or an operator banned it. */
    boolean isKnown(String id) {
        return workers.containsKey(id) || formerIds.contains(id) || bannedIds.contains(id);
    }

    /** The number of workers in the list. */
    int size() {
        return workers.size();
    }

    /** The number of workers in the list that operators banned. */
    int bannedCount() {
        int count = 0;
        for (String id : bannedIds) {
            count += workers.containsKey(id) ? 1 : 0;
        }
        return count;
    }

    /** Bans a worker or lifts its ban; returns whether that changes anything. */
    boolean setBanned(String id, boolean banned) {
        return banned ? bannedIds.add(id) : bannedIds.remove(id);
    }

    /**
     * The endpoints of an update in its order. Of one named twice the last alone: a worker that stays removed must not
     * seem to serve even for a moment.
     */
    static Collection<WorkerEndpoint> lastOfEach(List<WorkerEndpoint> endpoints) {
        var byId = new LinkedHashMap<String, WorkerEndpoint>();
        for (WorkerEndpoint endpoint : endpoints) {
            byId.put(endpoint.id(), endpoint);
        }
        return byId.values();
    }

    /** A complete list has come: removes what it does not name. An attempt in flight keeps its worker. */
    void retainOnly(Collection<WorkerEndpoint> complete) {
        var ids = new HashSet<String>();
        for (WorkerEndpoint endpoint : complete) {
            ids.add(endpoint.id());
        }
        for (Iterator<Worker> each = workers.values().iterator(); each.hasNext();) {
            Worker worker = each.next();
            if (!ids.contains(worker.id())) {
                markRemoved(worker);
                each.remove();
            }
        }
    }

    /** Takes in endpoints, removed ones too until {@link #discardRemoved}; returns them as the routing policy reads
     * them. */
    List<WorkerListEntry> update(Collection<WorkerEndpoint> endpoints) {
        var entries = new ArrayList<WorkerListEntry>();
        for (WorkerEndpoint endpoint : endpoints) {
            boolean banned = bannedIds.contains(endpoint.id());
            workers.computeIfAbsent(endpoint.id(), Worker::new).update(endpoint, banned);
            entries.add(entryOf(endpoint, banned));
        }
        return entries;
    }

    private static WorkerListEntry entryOf(WorkerEndpoint endpoint, boolean banned) {
        WorkerStatus state = switch (endpoint.state()) {
            case SERVING -> banned ? WorkerStatus.DRAINING : WorkerStatus.UP;
            case DRAINING -> WorkerStatus.DRAINING;
            case GONE -> WorkerStatus.REMOVED;
        };
        long upSince = endpoint.upSince() <= 0 ? Absent.VALUE : endpoint.upSince();
        return new WorkerListEntry(endpoint.id(), endpoint.zone(), endpoint.kind(), endpoint.cell(), state,
                endpoint.size(),
                upSince);
    }

    /** Removes the workers that an update says are gone, once the routing policy has heard of it. */
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
