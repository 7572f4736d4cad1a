package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Gives wishes that were asked their place in the order, or refuses them. What has a place keeps one. */
final class RequestAdmission {
    private RequestAdmission() {}

    static MaintenanceState admit(long now, MaintenanceState state, FleetSnapshot fleet, Budgets budgets) {
        List<RequestStatus> before = new ArrayList<>(state.inOrder());
        List<RequestStatus> asked = new ArrayList<>(before);
        before.removeIf(s -> s.stage() == MaintenanceStage.ASKED);
        asked.removeAll(before);
        if (asked.isEmpty()) {
            return state;
        }
        MaintenanceState all = place(now, state, before, asked, fleet, budgets); // mostly all can go, and one plan does
        if (all != null) {
            return all;
        }
        MaintenanceState at = state;
        for (RequestStatus s : asked) {
            before = new ArrayList<>(at.inOrder());
            before.removeIf(x -> x.stage() == MaintenanceStage.ASKED);
            MaintenanceState next = place(now, at, before, List.of(s), fleet, budgets);
            at = next == null ? alone(now, at, before, s, fleet, budgets) : next;
        }
        return at;
    }

    /** All of these with a place beside those that have one, or null where they can't be met together. */
    private static MaintenanceState place(long now, MaintenanceState state, List<RequestStatus> before,
            List<RequestStatus> asked, FleetSnapshot fleet,
            Budgets budgets) {
        List<RequestStatus> all = new ArrayList<>(before);
        all.addAll(asked);
        SchedulingResult answer = MaintenancePlanner.among(now, all, fleet, budgets);
        return answer instanceof SchedulingResult.Infeasible ? null : placed(now, state, asked, answer);
    }

    /** One that can't be met beside those before. Where these can't be met themselves, that is no fault of this one. */
    private static MaintenanceState alone(long now, MaintenanceState state, List<RequestStatus> before,
            RequestStatus asked, FleetSnapshot fleet,
            Budgets budgets) {
        List<RequestStatus> all = new ArrayList<>(before);
        if (MaintenancePlanner.among(now, before, fleet, budgets) instanceof SchedulingResult.Infeasible) {
            all.removeIf(s -> s.stage().isQueued());
        }
        all.add(asked);
        SchedulingResult answer = MaintenancePlanner.among(now, all, fleet, budgets);
        if (answer instanceof SchedulingResult.Infeasible no) {
            SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
            next.put(asked.request().id(), asked.at(MaintenanceStage.REFUSED, now, no.conflict()));
            return state.with(next);
        }
        return placed(now, state, List.of(asked), answer);
    }

    private static MaintenanceState placed(long now, MaintenanceState state, List<RequestStatus> asked,
            SchedulingResult answer) {
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        List<String> order = new ArrayList<>(state.order());
        for (RequestStatus s : asked) {
            next.put(s.request().id(), s.at(MaintenanceStage.PLANNED, now, List.of()));
            order.add(s.request().id());
        }
        return new MaintenanceState(next,
                answer instanceof SchedulingResult.Schedule plan ? sorted(order, plan) : order, state.held());
    }

    /** Those that have begun or ended, then those of the plan in its order, then those it leaves out. */
    private static List<String> sorted(List<String> order, SchedulingResult.Schedule plan) {
        List<String> planned = plan.slots().stream().map(s -> s.request().id()).toList();
        Set<String> own = new HashSet<>(planned);
        List<String> sorted = new ArrayList<>(order);
        sorted.removeAll(own);
        sorted.addAll(planned);
        return sorted;
    }
}
