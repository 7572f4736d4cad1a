package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One version of the replicated document {@code maintenance}. Immutable; each change is a new version, and nothing else
 * is remembered. {@link MaintenanceCodec} has its stored form.
 *
 * @param requests by id
 * @param order    ids of admitted requests in the order of their execution, begun and ended ones included
 * @param held     whether staff hold the complete order
 */
public record MaintenanceState(SortedMap<String, RequestStatus> requests, List<String> order, boolean held) {
    /** No requests. */
    public static final MaintenanceState EMPTY = new MaintenanceState(Collections.emptySortedMap(), List.of(), false);

    /** Takes copies of the collections. */
    public MaintenanceState {
        requests = Collections.unmodifiableSortedMap(new TreeMap<>(requests));
        order = List.copyOf(order);
    }

    /** The state to begin with where the last one is lost: nothing begins until a person resumes. */
    public static MaintenanceState unknown() {
        return new MaintenanceState(Collections.emptySortedMap(), List.of(), true);
    }

    /** Machines that must get no new work. */
    public SortedSet<String> unavailable() {
        var machines = new TreeSet<String>();
        requests.values().forEach(status -> {
            MaintenanceStage stage = status.stage();
            if (stage == MaintenanceStage.DRAINING || stage == MaintenanceStage.OUT
                    || (stage == MaintenanceStage.OVERDUE && !status.returned())) {
                machines.add(status.request().machine());
            }
        });
        return machines;
    }

    /** The status of a machine's request that has not ended, or null. */
    RequestStatus openRequest(String machine) {
        for (RequestStatus status : requests.values()) {
            if (!status.stage().isFinal() && status.request().machine().equals(machine)) {
                return status;
            }
        }
        return null;
    }

    MaintenanceState with(SortedMap<String, RequestStatus> newRequests) {
        return new MaintenanceState(newRequests, order, held);
    }

    /** Requests in the order of their execution, then those that have no place in it. */
    List<RequestStatus> inOrder() {
        var all = new ArrayList<RequestStatus>();
        order.forEach(id -> {
            if (requests.containsKey(id)) {
                all.add(requests.get(id));
            }
        });
        requests.values().forEach(status -> {
            if (!order.contains(status.request().id())) {
                all.add(status);
            }
        });
        return all;
    }
}
