package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Admits submitted requests to the order, or refuses them. An admitted request is never refused later. */
final class RequestAdmission {
    private final long now;
    private final FleetSnapshot fleet;
    private final Budgets budgets;

    private RequestAdmission(long now, FleetSnapshot fleet, Budgets budgets) {
        this.now = now;
        this.fleet = fleet;
        this.budgets = budgets;
    }

    /** The state in which every submitted request is admitted or refused. */
    static MaintenanceState admit(long now, MaintenanceState state, FleetSnapshot fleet, Budgets budgets) {
        return new RequestAdmission(now, fleet, budgets).admit(state);
    }

    private MaintenanceState admit(MaintenanceState state) {
        List<RequestStatus> submitted = state.inOrder().stream()
                .filter(s -> s.stage() == MaintenanceStage.ASKED).toList();
        if (submitted.isEmpty()) {
            return state;
        }
        MaintenanceState together = admitTogether(state, submitted); // mostly all can go, and one plan does
        if (together != null) {
            return together;
        }
        MaintenanceState next = state;
        for (RequestStatus request : submitted) {
            MaintenanceState admitted = admitTogether(next, List.of(request));
            next = admitted == null ? admitOrRefuse(next, request) : admitted;
        }
        return next;
    }

    private static List<RequestStatus> decided(MaintenanceState state) {
        return state.inOrder().stream().filter(s -> s.stage() != MaintenanceStage.ASKED).toList();
    }

    /** Admits requests beside those admitted before; null where they cannot be met together. */
    private MaintenanceState admitTogether(MaintenanceState state, List<RequestStatus> submitted) {
        List<RequestStatus> all = new ArrayList<>(decided(state));
        all.addAll(submitted);
        SchedulingResult result = MaintenancePlanner.among(now, all, fleet, budgets);
        return result instanceof SchedulingResult.Infeasible ? null : admitted(state, submitted, result);
    }

    /**
     * Decides on a request that cannot be met beside those admitted before. Where those cannot be met themselves, that
     * is not held against it.
     */
    private MaintenanceState admitOrRefuse(MaintenanceState state, RequestStatus submitted) {
        List<RequestStatus> all = new ArrayList<>(decided(state));
        if (MaintenancePlanner.among(now, all, fleet, budgets) instanceof SchedulingResult.Infeasible) {
            all.removeIf(s -> s.stage().isQueued());
        }
        all.add(submitted);
        SchedulingResult result = MaintenancePlanner.among(now, all, fleet, budgets);
        if (result instanceof SchedulingResult.Infeasible infeasible) {
            SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
            next.put(submitted.request().id(),
                    submitted.at(MaintenanceStage.REFUSED, now, infeasible.conflict()));
            return state.with(next);
        }
        return admitted(state, List.of(submitted), result);
    }

    private MaintenanceState admitted(MaintenanceState state, List<RequestStatus> submitted,
            SchedulingResult result) {
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        List<String> order = new ArrayList<>(state.order());
        for (RequestStatus request : submitted) {
            next.put(request.request().id(), request.at(MaintenanceStage.PLANNED, now));
            order.add(request.request().id());
        }
        return new MaintenanceState(next,
                result instanceof SchedulingResult.Schedule schedule ? sorted(order, schedule) : order, state.held());
    }

    /** Requests that have begun or ended, then those of the schedule in its order, after those it leaves out. */
    private static List<String> sorted(List<String> order, SchedulingResult.Schedule schedule) {
        List<String> scheduled = schedule.slots().stream().map(slot -> slot.request().id()).toList();
        Set<String> members = new HashSet<>(scheduled);
        List<String> sorted = new ArrayList<>(order);
        sorted.removeAll(members);
        sorted.addAll(scheduled);
        return sorted;
    }
}
