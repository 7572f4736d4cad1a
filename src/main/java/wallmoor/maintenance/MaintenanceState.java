package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the document {@code maintenance} says. One version after another carries it; nothing else is remembered.
 *
 * @param requests by their id
 * @param order  ids of wishes that have a place, those of it that have begun or ended included
 * @param held   whether staff hold the whole order
 */
public record MaintenanceState(SortedMap<String, RequestStatus> requests, List<String> order, boolean held) {
    /** No wishes. */
    public static final MaintenanceState EMPTY = new MaintenanceState(Collections.emptySortedMap(), List.of(), false);

    public MaintenanceState {
        requests = Collections.unmodifiableSortedMap(new TreeMap<>(requests));
        order = List.copyOf(order);
    }

    /** Machines that get nothing new by the order. */
    public SortedSet<String> unavailable() {
        var away = new TreeSet<String>();
        requests.values().forEach(s -> {
            if (s.stage() == MaintenanceStage.DRAINING || s.stage() == MaintenanceStage.OUT
                    || s.stage() == MaintenanceStage.OVERDUE && !s.returned()) {
                away.add(s.request().machine());
            }
        });
        return away;
    }

    /** The wish of a machine that is not over, or null. */
    RequestStatus openRequest(String machine) {
        for (RequestStatus s : requests.values()) {
            if (!s.stage().isFinal() && s.request().machine().equals(machine)) {
                return s;
            }
        }
        return null;
    }

    /** With other standings, and the order as it is. */
    MaintenanceState with(SortedMap<String, RequestStatus> others) {
        return new MaintenanceState(others, order, held);
    }

    /** Where nobody knows any more what was in force: nothing begins until a person says so. */
    public static MaintenanceState unknown() {
        return new MaintenanceState(Collections.emptySortedMap(), List.of(), true);
    }

    /** Wishes in the order's order, then those without a place. */
    List<RequestStatus> inOrder() {
        var all = new ArrayList<RequestStatus>();
        order.forEach(id -> {
            if (requests.containsKey(id)) {
                all.add(requests.get(id));
            }
        });
        requests.values().forEach(s -> {
            if (!order.contains(s.request().id())) {
                all.add(s);
            }
        });
        return all;
    }
}
