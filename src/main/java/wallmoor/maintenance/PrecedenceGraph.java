package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Which machines come before which. A constraint that names a machine without a request means nothing. */
final class PrecedenceGraph {
    private static final Set<MaintenanceStage> FAILED = Set.of(MaintenanceStage.REFUSED, MaintenanceStage.GIVEN_UP,
            MaintenanceStage.OVERDUE);
    private static final Set<MaintenanceStage> BLOCKED = Set.of(MaintenanceStage.REFUSED, MaintenanceStage.GIVEN_UP,
            MaintenanceStage.OVERDUE, MaintenanceStage.HELD);

    private final Map<String, RequestStatus> statusByMachine = new HashMap<>();
    private final Map<String, TreeSet<String>> predecessors = new TreeMap<>();

    private PrecedenceGraph() {}

    /**
     * The graph of all requests. Of several requests of one machine the open one counts, else the first that is not
     * done.
     */
    static PrecedenceGraph of(List<RequestStatus> statuses) {
        var graph = new PrecedenceGraph();
        for (RequestStatus status : statuses) {
            graph.statusByMachine.merge(status.request().machine(), status,
                    (known, other) -> rank(other) < rank(known) ? other : known);
        }
        graph.statusByMachine.forEach((machine, status) -> {
            status.request().after().forEach(first -> graph.add(first, machine));
            // a request that will not be done has no say over others
            if (status.stage() != MaintenanceStage.GIVEN_UP && status.stage() != MaintenanceStage.REFUSED) {
                status.request().before().forEach(second -> graph.add(machine, second));
            }
        });
        return graph;
    }

    private static int rank(RequestStatus status) {
        if (!status.stage().isFinal()) {
            return 0;
        }
        return status.stage() == MaintenanceStage.DONE ? 2 : 1;
    }

    private void add(String first, String second) {
        if (statusByMachine.containsKey(first) && statusByMachine.containsKey(second)) {
            predecessors.computeIfAbsent(second, k -> new TreeSet<>()).add(first);
        }
    }

    /** Machines that must be done before this one, whatever has become of them. */
    List<String> predecessors(String machine) {
        return predecessors.containsKey(machine) ? List.copyOf(predecessors.get(machine)) : List.of();
    }

    /** Predecessors that are not done yet. */
    List<String> unfinished(MaintenanceRequest request) {
        return predecessors(request.machine()).stream()
                .filter(m -> statusByMachine.get(m).stage() != MaintenanceStage.DONE).toList();
    }

    /** Predecessors that will not be done by themselves. */
    List<String> failed(MaintenanceRequest request) {
        return predecessorsAt(request, FAILED);
    }

    /** Predecessors that cannot proceed now. */
    List<String> blocked(MaintenanceRequest request) {
        return predecessorsAt(request, BLOCKED);
    }

    private List<String> predecessorsAt(MaintenanceRequest request, Set<MaintenanceStage> stages) {
        return predecessors(request.machine()).stream()
                .filter(m -> stages.contains(statusByMachine.get(m).stage())).toList();
    }
}
