package wallmoor.migration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.placement.Move;
import wallmoor.placement.PlacementPlanner;
import wallmoor.placement.PlacementResult;
import wallmoor.placement.PlanVerifier;
import wallmoor.placement.StorageNode;

/** Asks all nodes what they hold and what room they have, and has moves planned from that: while no move is out. */
final class ReplicaSurvey {
    private final MigrationSettings settings;
    private final Map<Long, String> out = new HashMap<>();
    private final Map<String, ReplicaResponse> said = new TreeMap<>();
    private final Map<String, String> silent = new TreeMap<>();
    private long notBefore = Long.MIN_VALUE;
    private boolean finished;
    private String stuck = "";

    ReplicaSurvey(MigrationSettings settings) {
        this.settings = settings;
    }

    /** What was said may be over: a version has come. */
    void forget() {
        out.clear();
        said.clear();
        silent.clear();
        finished = false;
        stuck = "";
        notBefore = Long.MIN_VALUE;
    }

    boolean finished() {
        return finished;
    }

    String stuck() {
        return stuck;
    }

    /** Who is to be asked now. */
    List<String> due(long now, PlacementTarget goal) {
        var due = new ArrayList<String>();
        if (!finished && now >= notBefore) {
            for (StorageNode n : goal.nodes()) {
                if (!said.containsKey(n.id()) && !out.containsValue(n.id())) {
                    due.add(n.id());
                }
            }
        }
        return due;
    }

    void asked(long id, String node) {
        out.put(id, node);
    }

    void answered(long id, ReplicaResponse what) {
        String node = out.remove(id);
        if (node != null) {
            said.put(node, what);
            silent.remove(node);
        }
    }

    void failed(long id, long now, String why) {
        String node = out.remove(id);
        if (node != null) {
            silent.put(node, why);
            notBefore = now + settings.retryMicros();
            said.clear(); // a plan is made of what all say at about one time
            stuck = "no answer from " + silent + "; start it, or start again with a file without it and its copies";
        }
    }

    /** The plan with moves planned; null where there are none, or none can be planned yet. */
    MigrationPlan plan(long now, MigrationPlan state) {
        if (finished || now < notBefore || !state.target().nodes().stream().allMatch(n -> said.containsKey(n.id()))) {
            return null;
        }
        stuck = unlike(state);
        if (stuck.isEmpty()) {
            var rooms = said.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().space()));
            var fleet = state.fleet(rooms);
            PlacementResult answer = PlacementPlanner.plan(fleet);
            if (answer instanceof PlacementResult.Plan plan && PlanVerifier.violations(fleet, plan).isEmpty()) {
                finished = plan.moves().isEmpty();
                return finished ? null : planned(state, plan);
            }
            stuck = answer instanceof PlacementResult.Infeasible none
                    ? "no plan exists; together these can't be kept: " + none.conflict()
                    : "no plan was found; give more room or a wider level";
        }
        said.clear();
        notBefore = now + settings.retryMicros();
        return null;
    }

    private static MigrationPlan planned(MigrationPlan state, PlacementResult.Plan plan) {
        var moves = new TreeMap<String, Migration>();
        for (Move m : plan.moves()) { // a block's second move is planned again when the first is over
            moves.putIfAbsent(m.block(), Migration.planned(m.block(), m.from(), m.to(), m.sizeMb(), m.wave()));
        }
        int cut = plan.moves().stream().filter(m -> moves.get(m.block()).wave() != m.wave()).mapToInt(Move::wave).min()
                .orElse(Integer.MAX_VALUE);
        moves.values().removeIf(c -> c.wave() >= cut); // what follows it counts on it
        return state.withMigrations(moves, state.owners());
    }

    /** How what the nodes hold is not what the plan says; an empty text where it is. */
    private String unlike(MigrationPlan state) {
        var faults = new TreeSet<String>();
        state.owners().forEach((b, on) -> on.forEach(n -> {
            if (!said.containsKey(n)
                    || said.get(n).replicas().getOrDefault(b, ReplicaRecord.NONE).state() != ReplicaState.OWNER) {
                faults.add(n + " does not hold " + b);
            }
        }));
        said.forEach((n, s) -> s.replicas().forEach((b, h) -> {
            if (h.state() != ReplicaState.ABSENT && !state.owners().getOrDefault(b, new TreeSet<>()).contains(n)) {
                faults.add(n + " holds " + b + " (" + h.state() + ")");
            }
        }));
        return faults.isEmpty() ? "" : "the nodes hold what the plan does not say, or lack what it says: "
                + faults.stream().limit(5).collect(Collectors.joining("; "))
                + "; mend that, or start with a file that says it";
    }
}
