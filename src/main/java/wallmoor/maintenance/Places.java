package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Gives wishes that were asked their place in the order, or refuses them. What has a place keeps one. */
final class Places {
    private Places() {}

    static State give(long now, State state, Fleet fleet, Budgets budgets) {
        List<Standing> before = new ArrayList<>(state.inOrder());
        List<Standing> asked = new ArrayList<>(before);
        before.removeIf(s -> s.step() == Step.ASKED);
        asked.removeAll(before);
        if (asked.isEmpty()) {
            return state;
        }
        State all = place(now, state, before, asked, fleet, budgets); // mostly all can go, and one plan does
        if (all != null) {
            return all;
        }
        State at = state;
        for (Standing s : asked) {
            before = new ArrayList<>(at.inOrder());
            before.removeIf(x -> x.step() == Step.ASKED);
            State next = place(now, at, before, List.of(s), fleet, budgets);
            at = next == null ? alone(now, at, before, s, fleet, budgets) : next;
        }
        return at;
    }

    /** All of these with a place beside those that have one, or null where they can't be met together. */
    private static State place(long now, State state, List<Standing> before, List<Standing> asked, Fleet fleet,
            Budgets budgets) {
        List<Standing> all = new ArrayList<>(before);
        all.addAll(asked);
        Answer answer = Planner.among(now, all, fleet, budgets);
        return answer instanceof Answer.Refused ? null : placed(now, state, asked, answer);
    }

    /** One that can't be met beside those before. Where these can't be met themselves, that is no fault of this one. */
    private static State alone(long now, State state, List<Standing> before, Standing asked, Fleet fleet,
            Budgets budgets) {
        List<Standing> all = new ArrayList<>(before);
        if (Planner.among(now, before, fleet, budgets) instanceof Answer.Refused) {
            all.removeIf(s -> s.step().waits());
        }
        all.add(asked);
        Answer answer = Planner.among(now, all, fleet, budgets);
        if (answer instanceof Answer.Refused no) {
            SortedMap<String, Standing> next = new TreeMap<>(state.wishes());
            next.put(asked.wish().id(), asked.at(Step.REFUSED, now, no.because()));
            return state.with(next);
        }
        return placed(now, state, List.of(asked), answer);
    }

    private static State placed(long now, State state, List<Standing> asked, Answer answer) {
        SortedMap<String, Standing> next = new TreeMap<>(state.wishes());
        List<String> order = new ArrayList<>(state.order());
        for (Standing s : asked) {
            next.put(s.wish().id(), s.at(Step.PLANNED, now, List.of()));
            order.add(s.wish().id());
        }
        return new State(next, answer instanceof Answer.Order plan ? sorted(order, plan) : order, state.held());
    }

    /** Those that have begun or ended, then those of the plan in its order, then those it leaves out. */
    private static List<String> sorted(List<String> order, Answer.Order plan) {
        List<String> planned = plan.slots().stream().map(s -> s.wish().id()).toList();
        Set<String> own = new HashSet<>(planned);
        List<String> sorted = new ArrayList<>(order);
        sorted.removeAll(own);
        sorted.addAll(planned);
        return sorted;
    }
}
