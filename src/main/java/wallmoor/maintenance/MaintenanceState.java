package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One version of the replicated document {@code maintenance}. Immutable: each change makes a new version, and there is
 * no other state. {@link MaintenanceCodec} defines its stored form.
 *
 * @param requests the requests by id
 * @param order    the ids of admitted requests in the order of their execution, including those begun and ended
 * @param held     whether staff hold the complete order
 */
public record MaintenanceState(SortedMap<String, RequestStatus> requests, List<String> order, boolean held) {
    /** The state without requests. */
    public static final MaintenanceState EMPTY = new MaintenanceState(Collections.emptySortedMap(), List.of(), false);

    /** Copies the collections. */
    public MaintenanceState {
        requests = Collections.unmodifiableSortedMap(new TreeMap<>(requests));
        order = List.copyOf(order);
    }

    /** Returns the initial state after the last state was lost: no request begins until staff resume the order. */
    public static MaintenanceState unknown() {
        return new MaintenanceState(Collections.emptySortedMap(), List.of(), true);
    }

    /** Returns the machines that must not receive new work. */
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

    /** Returns the status of the machine's request that has not ended, or null. */
    RequestStatus openRequest(String machine) {
        for (RequestStatus status : requests.values()) {
            if (!status.stage().isFinal() && status.request().machine().equals(machine)) {
                return status;
            }
        }
        return null;
    }

    MaintenanceState withRequests(SortedMap<String, RequestStatus> newRequests) {
        return new MaintenanceState(newRequests, order, held);
    }

    /** Returns the requests in the order of their execution, followed by those that are not in the order. */
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
