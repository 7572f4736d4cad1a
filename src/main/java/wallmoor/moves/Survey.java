package wallmoor.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import wallmoor.moves.Held.Status;
import wallmoor.placement.Answer;
import wallmoor.placement.Move;
import wallmoor.placement.Node;
import wallmoor.placement.PlanCheck;
import wallmoor.placement.Planner;

/** Asks all nodes what they hold and what room they have, and has moves planned from that: while no move is out. */
final class Survey {
    private final Settings settings;
    private final Map<Long, String> out = new HashMap<>();
    private final Map<String, Said> said = new TreeMap<>();
    private final Map<String, String> silent = new TreeMap<>();
    private long notBefore = Long.MIN_VALUE;
    private boolean finished;
    private String stuck = "";

    Survey(Settings settings) {
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
    List<String> due(long now, Goal goal) {
        var due = new ArrayList<String>();
        if (!finished && now >= notBefore) {
            for (Node n : goal.nodes()) {
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

    void answered(long id, Said what) {
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
            notBefore = now + settings.again();
            said.clear(); // a plan is made of what all say at about one time
            stuck = "no answer from " + silent + "; start it, or start again with a file without it and its copies";
        }
    }

    /** The plan with moves planned; null where there are none, or none can be planned yet. */
    State plan(long now, State state) {
        if (finished || now < notBefore || !state.goal().nodes().stream().allMatch(n -> said.containsKey(n.id()))) {
            return null;
        }
        stuck = unlike(state);
        if (stuck.isEmpty()) {
            var rooms = said.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().room()));
            var fleet = state.fleet(rooms);
            Answer answer = Planner.plan(fleet);
            if (answer instanceof Answer.Plan plan && PlanCheck.faults(fleet, plan).isEmpty()) {
                finished = plan.moves().isEmpty();
                return finished ? null : planned(state, plan);
            }
            stuck = answer instanceof Answer.Infeasible none
                    ? "no plan exists; together these can't be kept: " + none.because()
                    : "no plan was found; give more room or a wider level";
        }
        said.clear();
        notBefore = now + settings.again();
        return null;
    }

    private static State planned(State state, Answer.Plan plan) {
        var moves = new TreeMap<String, Carry>();
        for (Move m : plan.moves()) { // a block's second move is planned again when the first is over
            moves.putIfAbsent(m.block(), Carry.planned(m.block(), m.from(), m.to(), m.mb(), m.wave()));
        }
        int cut = plan.moves().stream().filter(m -> moves.get(m.block()).wave() != m.wave()).mapToInt(Move::wave).min()
                .orElse(Integer.MAX_VALUE);
        moves.values().removeIf(c -> c.wave() >= cut); // what follows it counts on it
        return state.with(moves, state.owners());
    }

    /** How what the nodes hold is not what the plan says; an empty text where it is. */
    private String unlike(State state) {
        var faults = new TreeSet<String>();
        state.owners().forEach((b, on) -> on.forEach(n -> {
            if (!said.containsKey(n) || said.get(n).holds().getOrDefault(b, Held.NONE).status() != Status.OWNER) {
                faults.add(n + " does not hold " + b);
            }
        }));
        said.forEach((n, s) -> s.holds().forEach((b, h) -> {
            if (h.status() != Status.ABSENT && !state.owners().getOrDefault(b, new TreeSet<>()).contains(n)) {
                faults.add(n + " holds " + b + " (" + h.status() + ")");
            }
        }));
        return faults.isEmpty() ? "" : "the nodes hold what the plan does not say, or lack what it says: "
                + faults.stream().limit(5).collect(Collectors.joining("; "))
                + "; mend that, or start with a file that says it";
    }
}
