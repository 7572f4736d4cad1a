package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Admits submitted requests to the order or refuses them. An admitted request is never refused later. */
final class RequestAdmission {
    private final long now;
    private final FleetSnapshot fleet;
    private final Budgets budgets;

    private RequestAdmission(long now, FleetSnapshot fleet, Budgets budgets) {
        this.now = now;
        this.fleet = fleet;
        this.budgets = budgets;
    }

    /** Returns the state in which every submitted request is admitted or refused. */
    static MaintenanceState admit(long now, MaintenanceState state, FleetSnapshot fleet, Budgets budgets) {
        return new RequestAdmission(now, fleet, budgets).admit(state);
    }

    private MaintenanceState admit(MaintenanceState state) {
        List<RequestStatus> submitted = state.inOrder().stream()
                .filter(s -> s.stage() == MaintenanceStage.ASKED).toList();
        if (submitted.isEmpty()) {
            return state;
        }
        // one plan suffices in the common case that all can be met
        MaintenanceState allAdmitted = admitTogether(state, submitted);
        if (allAdmitted != null) {
            return allAdmitted;
        }
        MaintenanceState next = state;
        for (RequestStatus request : submitted) {
            MaintenanceState admitted = admitTogether(next, List.of(request));
            next = admitted == null ? admitOrRefuse(next, request) : admitted;
        }
        return next;
    }

    private static List<RequestStatus> decidedRequests(MaintenanceState state) {
        return state.inOrder().stream().filter(s -> s.stage() != MaintenanceStage.ASKED).toList();
    }

    /** Returns the state with the requests admitted beside those admitted before, or null if none was found. */
    private MaintenanceState admitTogether(MaintenanceState state, List<RequestStatus> submitted) {
        List<RequestStatus> all = new ArrayList<>(decidedRequests(state));
        all.addAll(submitted);
        SchedulingResult result = MaintenancePlanner.planRemaining(now, all, fleet, budgets);
        return result instanceof SchedulingResult.Infeasible ? null : withAdmitted(state, submitted, result);
    }

    /**
     * Decides on a request that cannot be met beside those admitted before. If those cannot be met without it either,
     * the queued ones are left out of the decision.
     */
    private MaintenanceState admitOrRefuse(MaintenanceState state, RequestStatus submitted) {
        List<RequestStatus> all = new ArrayList<>(decidedRequests(state));
        if (MaintenancePlanner.planRemaining(now, all, fleet, budgets) instanceof SchedulingResult.Infeasible) {
            List<String> cycle = cycleWith(all, submitted);
            if (!cycle.isEmpty()) {
                return refused(state, submitted, PrecedenceGraph.constraints(cycle));
            }
            all.removeIf(s -> s.stage().isQueued());
        }
        all.add(submitted);
        SchedulingResult result = MaintenancePlanner.planRemaining(now, all, fleet, budgets);
        if (result instanceof SchedulingResult.Infeasible infeasible) {
            return refused(state, submitted, infeasible.conflict());
        }
        return withAdmitted(state, List.of(submitted), result);
    }

    /** Returns the cycle that a submitted request closes with those decided before; empty if there is none. */
    private static List<String> cycleWith(List<RequestStatus> decided, RequestStatus submitted) {
        List<RequestStatus> all = new ArrayList<>(decided);
        all.add(submitted);
        return PrecedenceGraph.of(all).cycleThrough(submitted.request().machine());
    }

    private MaintenanceState refused(MaintenanceState state, RequestStatus submitted,
            List<MaintenanceConstraint> reasons) {
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        next.put(submitted.request().id(), submitted.withStage(MaintenanceStage.REFUSED, now, reasons));
        return state.withRequests(next);
    }

    private MaintenanceState withAdmitted(MaintenanceState state, List<RequestStatus> submitted,
            SchedulingResult result) {
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        List<String> order = new ArrayList<>(state.order());
        for (RequestStatus request : submitted) {
            next.put(request.request().id(), request.withStage(MaintenanceStage.PLANNED, now));
            order.add(request.request().id());
        }
        return new MaintenanceState(next,
                result instanceof SchedulingResult.Schedule schedule ? sorted(order, schedule) : order, state.held());
    }

    /** Returns the order with the scheduled requests moved to its end, in the order of the schedule. */
    private static List<String> sorted(List<String> order, SchedulingResult.Schedule schedule) {
        List<String> scheduled = schedule.slots().stream().map(slot -> slot.request().id()).toList();
        Set<String> scheduledIds = new HashSet<>(scheduled);
        List<String> sorted = new ArrayList<>(order);
        sorted.removeAll(scheduledIds);
        sorted.addAll(scheduled);
        return sorted;
    }
}
