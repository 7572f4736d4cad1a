package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Which machines come before which. A pin to a machine without a wish that is not done stands for nothing. */
final class PrecedenceGraph {
    private final Map<String, RequestStatus> of = new HashMap<>();
    private final Map<String, TreeSet<String>> first = new TreeMap<>();

    private PrecedenceGraph() {}

    /**
     * Those of all standings; of several of one machine the one that is not over counts, else the first that is not
     * done.
     */
    static PrecedenceGraph of(List<RequestStatus> all) {
        var pins = new PrecedenceGraph();
        for (RequestStatus s : all) {
            pins.of.merge(s.request().machine(), s, (a, b) -> rank(b) < rank(a) ? b : a);
        }
        pins.of.forEach((machine, s) -> {
            s.request().after().forEach(a -> pins.pin(a, machine));
            if (s.stage() != MaintenanceStage.GIVEN_UP && s.stage() != MaintenanceStage.REFUSED) {
                // one that won't be done has no say over others
                s.request().before().forEach(b -> pins.pin(machine, b));
            }
        });
        return pins;
    }

    private static int rank(RequestStatus s) {
        return !s.stage().isFinal() ? 0 : s.stage() == MaintenanceStage.DONE ? 2 : 1;
    }

    private void pin(String a, String b) {
        if (of.containsKey(a) && of.containsKey(b)) {
            first.computeIfAbsent(b, k -> new TreeSet<>()).add(a);
        }
    }

    /** Machines that must be done before this wish's, whatever has become of them. */
    List<String> predecessors(String machine) {
        return first.containsKey(machine) ? List.copyOf(first.get(machine)) : List.of();
    }

    /** Machines that must be done before and are not yet. */
    List<String> unfinished(MaintenanceRequest wish) {
        return predecessors(wish.machine()).stream().filter(a -> of.get(a).stage() != MaintenanceStage.DONE).toList();
    }

    /** Machines that must be done before and will not be by themselves. */
    List<String> failed(MaintenanceRequest wish) {
        return first(wish, MaintenanceStage.REFUSED, MaintenanceStage.GIVEN_UP, MaintenanceStage.OVERDUE);
    }

    /** Machines that must be done before and can't go on now. */
    List<String> blocked(MaintenanceRequest wish) {
        return first(wish, MaintenanceStage.REFUSED, MaintenanceStage.GIVEN_UP, MaintenanceStage.OVERDUE,
                MaintenanceStage.HELD);
    }

    private List<String> first(MaintenanceRequest wish, MaintenanceStage... at) {
        return predecessors(wish.machine()).stream().filter(a -> List.of(at).contains(of.get(a).stage())).toList();
    }
}
