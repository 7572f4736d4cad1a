package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import wallmoor.maintenance.Machine.MachinePhase;

/**
 * Computes the next version of the state: a pure function of the active version, of the observed fleet, of the budgets
 * and of the time. It comes into force only as an agreed version; {@link MaintenanceAction}s follow from that. Nothing
 * here relies on what was not observed or reported.
 */
public final class MaintenanceStateMachine {
    private final long now;
    private final MaintenanceState active;
    private final FleetSnapshot fleet;
    private final Budgets budgets;
    private final Map<String, Machine> machines;
    private final Map<String, Integer> indexById;
    private final SortedMap<String, RequestStatus> next;

    private MaintenanceStateMachine(long now, MaintenanceState active, FleetSnapshot fleet, Budgets budgets) {
        this.now = now;
        this.active = active;
        this.fleet = fleet;
        this.budgets = budgets;
        this.machines = fleet.byId();
        this.indexById = fleet.indexById();
        this.next = new TreeMap<>(active.requests());
    }

    /**
     * The next version; equal to the active one where nothing changes.
     *
     * @param now milliseconds since 1970; may go back when another process decides
     */
    public static MaintenanceState next(long now, MaintenanceState active, FleetSnapshot fleet, Budgets budgets) {
        return new MaintenanceStateMachine(now, active, fleet, budgets).next();
    }

    private MaintenanceState next() {
        next.replaceAll((id, status) -> observe(status));
        Set<String> outByOrder = outByOrder();
        OutageLedger ledger = new OutageLedger(fleet, budgets, constraint -> true);
        for (Machine machine : fleet.machines()) {
            if (!outByOrder.contains(machine.id()) && !isSound(machine)) {
                ledger.takeOut(indexById.get(machine.id()), budgets.capacityShare(machine));
            }
        }
        continueDrains(ledger, outByOrder);
        MaintenanceState decided = active.with(next);
        MaintenanceState admitted = fleet.hasQuorum() ? RequestAdmission.admit(now, decided, fleet, budgets) : decided;
        next.putAll(admitted.requests());
        beginQueued(ledger, admitted);
        return admitted.with(next);
    }

    /**
     * Machines that the order has out. One that comes back just now still counts: two versions may be acted on side by
     * side.
     */
    private Set<String> outByOrder() {
        Set<String> out = new HashSet<>();
        for (RequestStatus status : active.inOrder()) {
            if (status.stage().isOut() || next.get(status.request().id()).stage().isOut()) {
                out.add(status.request().machine());
            }
        }
        return out;
    }

    /** Whether a machine serves, past slow start. */
    private boolean isSound(Machine machine) {
        return machine.phase() == MachinePhase.SERVING
                && (!machine.isNode() || machine.servingMillis() >= budgets.slowStartMillis());
    }

    private void put(RequestStatus status) {
        next.put(status.request().id(), status);
    }

    private static MachinePhase phase(Machine machine) {
        return machine == null ? MachinePhase.AWAY : machine.phase();
    }

    private long age(RequestStatus status) {
        return Math.max(0, now - status.since());
    }

    /** What follows from observing the machine alone. */
    private RequestStatus observe(RequestStatus status) {
        Machine machine = machines.get(status.request().machine());
        MaintenanceStage stage = status.stage();
        boolean servesAgain = status.drainedByOrder() && phase(machine) == MachinePhase.SERVING
                && stage != MaintenanceStage.DRAINING && stage != MaintenanceStage.OUT;
        RequestStatus observed = servesAgain ? status.withDrainedByOrder(false) : status;
        return switch (stage) {
            case OUT, OVERDUE, RETURNING -> observeReturn(observed, machine);
            case WARM -> observeWarm(observed, machine);
            default -> observed;
        };
    }

    private RequestStatus observeWarm(RequestStatus status, Machine machine) {
        if (phase(machine) == MachinePhase.AWAY || !isSound(machine)) {
            return status.at(MaintenanceStage.RETURNING, now, notSound(machine));
        }
        return age(status) >= budgets.observationMillis() ? status.at(MaintenanceStage.DONE, now) : status;
    }

    private RequestStatus observeReturn(RequestStatus status, Machine machine) {
        MachinePhase phase = phase(machine);
        boolean out = status.stage() == MaintenanceStage.OUT;
        boolean restarted = phase != MachinePhase.AWAY && !machine.incarnation().equals(status.incarnation());
        boolean returned = status.returned() || restarted;
        if (!returned && phase == MachinePhase.SERVING) { // somebody else let it serve: it is not idle any more
            return status.at(MaintenanceStage.DRAINING, now);
        }
        if (!returned || (out && phase == MachinePhase.AWAY)) {
            boolean inTime = out && age(status) <= status.request().workMillis() + budgets.overdueMillis();
            return inTime ? status.at(MaintenanceStage.OUT, now)
                    : status.at(MaintenanceStage.OVERDUE, now,
                            List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, status.request().machine())));
        }
        if (phase == MachinePhase.SERVING && isSound(machine)) {
            return status.withReturned(true).at(MaintenanceStage.WARM, now);
        }
        boolean returning = out || (status.stage() == MaintenanceStage.RETURNING
                && age(status) <= budgets.slowStartMillis() + budgets.overdueMillis());
        return status.withReturned(true).at(
                returning ? MaintenanceStage.RETURNING : MaintenanceStage.OVERDUE, now, notSound(machine));
    }

    private static List<MaintenanceConstraint> notSound(Machine machine) {
        if (phase(machine) == MachinePhase.AWAY) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, machine == null ? "" : machine.id()));
        }
        return List.of(MaintenanceConstraint.of(MaintenanceRule.COLD, machine.id()));
    }

    /** Draining machines go on, go out, or are put back where they may not go any more. */
    private void continueDrains(OutageLedger ledger, Set<String> outByOrder) {
        List<RequestStatus> draining = active.inOrder().stream().map(s -> next.get(s.request().id()))
                .filter(s -> s.stage() == MaintenanceStage.DRAINING).toList();
        Set<String> drainingMachines = new HashSet<>();
        draining.forEach(s -> drainingMachines.add(s.request().machine()));
        outByOrder.stream().filter(id -> !drainingMachines.contains(id) && indexById.containsKey(id))
                .forEach(id -> ledger.takeOut(indexById.get(id)));
        List<RequestStatus> continued = new ArrayList<>();
        for (RequestStatus status : draining) {
            Integer index = indexById.get(status.request().machine());
            List<MaintenanceConstraint> obstacles = drainObstacles(status, ledger);
            if (index != null) {
                ledger.takeOut(index);
            }
            if (obstacles.isEmpty()) {
                continued.add(status);
            } else {
                put(status.at(MaintenanceStage.HELD, now, obstacles));
            }
        }
        for (RequestStatus status : continued) {
            int index = indexById.get(status.request().machine());
            ledger.putBack(index);
            List<MaintenanceConstraint> violated = ledger.violations(index); // those put back just now still count
            ledger.takeOut(index);
            put(drained(status, machines.get(status.request().machine()), violated));
        }
    }

    private List<MaintenanceConstraint> drainObstacles(RequestStatus status, OutageLedger ledger) {
        String id = status.request().machine();
        if (phase(machines.get(id)) == MachinePhase.AWAY) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, id));
        }
        if (isHeldByStaff(status)) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.STAFF));
        }
        return ledger.violations(indexById.get(id));
    }

    /** The next status of a draining machine: out, if it is idle and all constraints allow it. */
    private RequestStatus drained(RequestStatus status, Machine machine, List<MaintenanceConstraint> violated) {
        List<String> busy = DrainCompletion.busyFor(machine, fleet, budgets);
        if (!busy.isEmpty()) {
            boolean timedOut = age(status) >= budgets.drainTimeoutMillis();
            var reason = new MaintenanceConstraint(MaintenanceRule.BUSY, busy, List.of(), timedOut ? "drain" : "");
            return status.at(timedOut ? MaintenanceStage.GIVEN_UP : MaintenanceStage.DRAINING, now, List.of(reason));
        }
        if (!fleet.hasQuorum()) {
            return status.at(MaintenanceStage.DRAINING, now,
                    List.of(MaintenanceConstraint.of(MaintenanceRule.QUORUM)));
        }
        long remainingMillis = budgets.afterDrainMillis(status.request());
        if (missesDeadline(status, remainingMillis)) {
            return status.at(MaintenanceStage.HELD, now,
                    List.of(MaintenanceConstraint.deadline(status.request())));
        }
        if (budgets.windows().nextStart(now, remainingMillis) != now) {
            return status.at(MaintenanceStage.HELD, now, List.of(MaintenanceConstraint.windows()));
        }
        return violated.isEmpty()
                ? status.withIncarnation(machine.incarnation()).at(MaintenanceStage.OUT, now)
                : status.at(MaintenanceStage.DRAINING, now, violated);
    }

    private boolean isHeldByStaff(RequestStatus status) {
        return active.held() || status.heldByStaff();
    }

    private boolean missesDeadline(RequestStatus status, long remainingMillis) {
        return status.request().deadline() - remainingMillis < now;
    }

    /** Begins queued requests that may go now. Others wait, or are held where even the order's own return won't do. */
    private void beginQueued(OutageLedger ledger, MaintenanceState admitted) {
        OutageLedger withoutOrder = withoutOrder(admitted);
        var queue = new AdmissionQueue(ledger);
        var precedence = PrecedenceGraph.of(admitted.inOrder());
        for (RequestStatus status : admitted.inOrder()) {
            if (!status.stage().isQueued() || wasDraining(status)) {
                continue; // one that was put back just now is considered again with the next version
            }
            List<MaintenanceConstraint> holding = holding(status, withoutOrder, precedence);
            List<MaintenanceConstraint> waitingFor = holding.isEmpty()
                    ? waitingFor(status, ledger, queue, precedence) : List.of();
            if (!holding.isEmpty()) {
                put(status.at(MaintenanceStage.HELD, now, holding));
            } else if (!waitingFor.isEmpty()) {
                put(status.at(MaintenanceStage.PLANNED, now, waitingFor));
            } else {
                put(status.withDrainedByOrder(true).withIncarnation("").withReturned(false)
                        .at(MaintenanceStage.DRAINING, now));
            }
        }
    }

    /** A ledger as if all were back that the order has out. */
    private OutageLedger withoutOrder(MaintenanceState admitted) {
        var ledger = new OutageLedger(fleet, budgets, constraint -> true);
        for (Machine machine : fleet.machines()) {
            RequestStatus status = admitted.openRequest(machine.id());
            if (!isSound(machine) && (status == null || !status.stage().isOut())) {
                ledger.takeOut(indexById.get(machine.id()), budgets.capacityShare(machine));
            }
        }
        return ledger;
    }

    private boolean wasDraining(RequestStatus status) {
        RequestStatus before = active.requests().get(status.request().id());
        return before != null && before.stage() == MaintenanceStage.DRAINING;
    }

    /** Why a queued request cannot go, even if all were back that the order has out; empty where it can. */
    private List<MaintenanceConstraint> holding(RequestStatus status, OutageLedger withoutOrder,
            PrecedenceGraph precedence) {
        MaintenanceRequest request = status.request();
        Machine machine = machines.get(request.machine());
        long outageMillis = budgets.outageMillis(request);
        if (isHeldByStaff(status)) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.STAFF));
        }
        if (!fleet.hasQuorum()) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.QUORUM));
        }
        if (machine == null || !isSound(machine)) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, request.machine()));
        }
        if (missesDeadline(status, outageMillis)) {
            return List.of(MaintenanceConstraint.deadline(request));
        }
        if (budgets.windows().nextStart(now, outageMillis) < 0) {
            return List.of(MaintenanceConstraint.windows());
        }
        List<String> blocked = precedence.blocked(request);
        if (!blocked.isEmpty()) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, blocked.toArray(String[]::new)));
        }
        return withoutOrder.violations(indexById.get(machine.id()));
    }

    /** What a request that is not held waits for; empty where it goes now, and then it counts as out. */
    private List<MaintenanceConstraint> waitingFor(RequestStatus status, OutageLedger ledger, AdmissionQueue queue,
            PrecedenceGraph precedence) {
        MaintenanceRequest request = status.request();
        Machine machine = machines.get(request.machine());
        var reasons = new ArrayList<MaintenanceConstraint>();
        List<String> unfinished = precedence.unfinished(request);
        if (!unfinished.isEmpty()) {
            reasons.add(MaintenanceConstraint.of(MaintenanceRule.PIN, unfinished.toArray(String[]::new)));
        }
        if (budgets.windows().nextStart(now, budgets.outageMillis(request)) != now) {
            reasons.add(MaintenanceConstraint.windows());
        }
        if (!reasons.isEmpty()) {
            return reasons;
        }
        int index = indexById.get(machine.id());
        if (queue.isHeldBack(machine)) {
            List<MaintenanceConstraint> own = ledger.violations(index);
            return own.isEmpty()
                    ? List.of(MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "those ahead in the order")) : own;
        }
        return queue.tryAdmit(index, machine) ? List.of() : ledger.violations(index);
    }
}
