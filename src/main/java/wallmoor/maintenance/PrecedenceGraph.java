package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The precedences between machines. A precedence that names a machine without a request is ignored. */
final class PrecedenceGraph {
    private static final Set<MaintenanceStage> FAILED_STAGES = Set.of(MaintenanceStage.REFUSED,
            MaintenanceStage.GIVEN_UP, MaintenanceStage.OVERDUE);
    private static final Set<MaintenanceStage> BLOCKED_STAGES = Set.of(MaintenanceStage.REFUSED,
            MaintenanceStage.GIVEN_UP, MaintenanceStage.OVERDUE, MaintenanceStage.HELD);

    private final Map<String, RequestStatus> statusByMachine = new HashMap<>();
    private final Map<String, TreeSet<String>> predecessors = new TreeMap<>();

    private PrecedenceGraph() {}

    /**
     * Returns the graph of all requests. If a machine has several requests, the open one counts, or else the first that
     * is not done.
     */
    static PrecedenceGraph of(List<RequestStatus> statuses) {
        var graph = new PrecedenceGraph();
        for (RequestStatus status : statuses) {
            graph.statusByMachine.merge(status.request().machine(), status,
                    (existing, other) -> rank(other) < rank(existing) ? other : existing);
        }
        graph.statusByMachine.forEach((machine, status) -> {
            status.request().after().forEach(first -> graph.add(first, machine));
            // a request that will not be done does not constrain others
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

    /** Returns the machines whose requests must be done first, at whatever stage they are. */
    List<String> predecessors(String machine) {
        return predecessors.containsKey(machine) ? List.copyOf(predecessors.get(machine)) : List.of();
    }

    /** Returns the predecessors that are not done yet. */
    List<String> unfinished(MaintenanceRequest request) {
        return predecessors(request.machine()).stream()
                .filter(m -> statusByMachine.get(m).stage() != MaintenanceStage.DONE).toList();
    }

    /** Returns the predecessors that will not be done without intervention: refused, given up, or overdue ones. */
    List<String> failed(MaintenanceRequest request) {
        return predecessorsAt(request, FAILED_STAGES);
    }

    /** Returns the predecessors that cannot proceed now: those that failed, and those held. */
    List<String> blocked(MaintenanceRequest request) {
        return predecessorsAt(request, BLOCKED_STAGES);
    }

    /**
     * Returns the shortest cycle from a machine along predecessors that have not ended, by breadth-first search; empty
     * if there is none.
     */
    List<String> cycleThrough(String machine) {
        List<List<String>> paths = new ArrayList<>(List.of(List.of(machine)));
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < paths.size(); i++) {
            List<String> path = paths.get(i);
            for (String predecessor : predecessors(path.get(path.size() - 1))) {
                if (predecessor.equals(machine)) {
                    return path;
                }
                if (!statusByMachine.get(predecessor).stage().isFinal() && seen.add(predecessor)) {
                    List<String> longer = new ArrayList<>(path);
                    longer.add(predecessor);
                    paths.add(longer);
                }
            }
        }
        return List.of();
    }

    /** Returns the precedences of a cycle, each between a machine and its predecessor in the cycle. */
    static List<MaintenanceConstraint> constraints(List<String> cycle) {
        var constraints = new ArrayList<MaintenanceConstraint>();
        for (int i = 0; i < cycle.size(); i++) {
            constraints.add(MaintenanceConstraint.precedence(cycle.get((i + 1) % cycle.size()), cycle.get(i)));
        }
        return constraints;
    }

    private List<String> predecessorsAt(MaintenanceRequest request, Set<MaintenanceStage> stages) {
        return predecessors(request.machine()).stream()
                .filter(m -> stages.contains(statusByMachine.get(m).stage())).toList();
    }
}
