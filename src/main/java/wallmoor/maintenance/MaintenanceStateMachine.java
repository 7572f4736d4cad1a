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
 * Computes the next version of the state, as a pure function of the active version, the observed fleet, the budgets and
 * the time. The result takes effect only once it is agreed as a version; {@link MaintenanceAction}s are derived from
 * the agreed version. No decision relies on anything that was not observed or reported.
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
     * Returns the next version, which equals the active version if nothing changes.
     *
     * @param now milliseconds since 1970; may go backwards when another process takes over
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
        MaintenanceState decided = active.withRequests(next);
        MaintenanceState admitted = fleet.hasQuorum() ? RequestAdmission.admit(now, decided, fleet, budgets) : decided;
        next.putAll(admitted.requests());
        beginQueued(ledger, admitted);
        return admitted.withRequests(next);
    }

    /**
     * Returns the machines that the order has out of service. A machine that returns with this version still counts,
     * because actions of two versions may be performed concurrently.
     */
    private Set<String> outByOrder() {
        Set<String> machinesOut = new HashSet<>();
        for (RequestStatus status : active.inOrder()) {
            if (status.stage().isOut() || next.get(status.request().id()).stage().isOut()) {
                machinesOut.add(status.request().machine());
            }
        }
        return machinesOut;
    }

    /** Returns whether a machine serves and is past slow start. */
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

    /** Returns the status that follows from the observation of the machine alone. */
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
            return status.withStage(MaintenanceStage.RETURNING, now, unsoundReasons(machine));
        }
        return age(status) >= budgets.observationMillis() ? status.withStage(MaintenanceStage.DONE, now) : status;
    }

    private RequestStatus observeReturn(RequestStatus status, Machine machine) {
        MachinePhase phase = phase(machine);
        boolean wasOut = status.stage() == MaintenanceStage.OUT;
        boolean restarted = phase != MachinePhase.AWAY && !machine.incarnation().equals(status.incarnation());
        boolean returned = status.returned() || restarted;
        if (!returned && phase == MachinePhase.SERVING) { // set to serving by someone else: no longer idle
            return status.withStage(MaintenanceStage.DRAINING, now);
        }
        if (!returned || (wasOut && phase == MachinePhase.AWAY)) {
            boolean inTime = wasOut && age(status) <= status.request().workMillis() + budgets.overdueMillis();
            return inTime ? status.withStage(MaintenanceStage.OUT, now)
                    : status.withStage(MaintenanceStage.OVERDUE, now,
                            List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, status.request().machine())));
        }
        if (phase == MachinePhase.SERVING && isSound(machine)) {
            return status.withReturned(true).withStage(MaintenanceStage.WARM, now);
        }
        boolean returning = wasOut || (status.stage() == MaintenanceStage.RETURNING
                && age(status) <= budgets.slowStartMillis() + budgets.overdueMillis());
        return status.withReturned(true).withStage(
                returning ? MaintenanceStage.RETURNING : MaintenanceStage.OVERDUE, now, unsoundReasons(machine));
    }

    private static List<MaintenanceConstraint> unsoundReasons(Machine machine) {
        if (phase(machine) == MachinePhase.AWAY) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, machine == null ? "" : machine.id()));
        }
        return List.of(MaintenanceConstraint.of(MaintenanceRule.COLD, machine.id()));
    }

    /**
     * Decides for each draining machine: it keeps draining, goes out of service, or serves again if it may no longer
     * go.
     */
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
                put(status.withStage(MaintenanceStage.HELD, now, obstacles));
            }
        }
        for (RequestStatus status : continued) {
            int index = indexById.get(status.request().machine());
            ledger.putBack(index);
            // machines held by this version still count as out
            List<MaintenanceConstraint> violated = ledger.violations(index);
            ledger.takeOut(index);
            put(afterDrainCheck(status, machines.get(status.request().machine()), violated));
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

    /**
     * Returns the next status of a draining machine: out of service if it is idle and no constraint is violated, and
     * held if a block has no other holder that serves now.
     */
    private RequestStatus afterDrainCheck(RequestStatus status, Machine machine, List<MaintenanceConstraint> violated) {
        if (violated.stream().anyMatch(constraint -> constraint.rule() == MaintenanceRule.COVER)) {
            return status.withStage(MaintenanceStage.HELD, now, violated);
        }
        List<String> busy = DrainCompletion.drainBlockers(machine, fleet, budgets);
        if (!busy.isEmpty()) {
            boolean timedOut = age(status) >= budgets.drainTimeoutMillis();
            var reason = new MaintenanceConstraint(MaintenanceRule.BUSY, busy, List.of(), timedOut ? "drain" : "");
            return status.withStage(timedOut ? MaintenanceStage.GIVEN_UP : MaintenanceStage.DRAINING, now,
                    List.of(reason));
        }
        if (!fleet.hasQuorum()) {
            return status.withStage(MaintenanceStage.DRAINING, now,
                    List.of(MaintenanceConstraint.of(MaintenanceRule.QUORUM)));
        }
        long remainingMillis = budgets.afterDrainMillis(status.request());
        if (missesDeadline(status, remainingMillis)) {
            return status.withStage(MaintenanceStage.HELD, now,
                    List.of(MaintenanceConstraint.deadline(status.request())));
        }
        if (budgets.windows().nextStart(now, remainingMillis) != now) {
            return status.withStage(MaintenanceStage.HELD, now, List.of(MaintenanceConstraint.windows()));
        }
        return violated.isEmpty()
                ? status.withIncarnation(machine.incarnation()).withStage(MaintenanceStage.OUT, now)
                : status.withStage(MaintenanceStage.DRAINING, now, violated);
    }

    private boolean isHeldByStaff(RequestStatus status) {
        return active.held() || status.heldByStaff();
    }

    private boolean missesDeadline(RequestStatus status, long remainingMillis) {
        return status.request().deadline() - remainingMillis < now;
    }

    /**
     * Begins the queued requests that may begin now. The others wait; those that could not begin even if all machines
     * taken out by the order were back are held.
     */
    private void beginQueued(OutageLedger ledger, MaintenanceState admitted) {
        OutageLedger withoutOrder = withoutOrder(admitted);
        var queue = new AdmissionQueue(ledger);
        var precedence = PrecedenceGraph.of(admitted.inOrder());
        for (RequestStatus status : admitted.inOrder()) {
            if (!status.stage().isQueued() || wasOut(status)) {
                continue; // a request held by this version is considered again in the next one
            }
            List<MaintenanceConstraint> holdReasons = holdReasons(status, withoutOrder, precedence);
            List<MaintenanceConstraint> waitReasons = holdReasons.isEmpty()
                    ? waitReasons(status, ledger, queue, precedence) : List.of();
            if (!holdReasons.isEmpty()) {
                put(status.withStage(MaintenanceStage.HELD, now, holdReasons));
            } else if (!waitReasons.isEmpty()) {
                put(status.withStage(MaintenanceStage.PLANNED, now, waitReasons));
            } else {
                put(status.withDrainedByOrder(true).withIncarnation("").withReturned(false)
                        .withStage(MaintenanceStage.DRAINING, now));
            }
        }
    }

    /** Returns a ledger in which all machines taken out by the order are back. */
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

    private boolean wasOut(RequestStatus status) {
        RequestStatus previous = active.requests().get(status.request().id());
        return previous != null && previous.stage().isOut();
    }

    /**
     * Returns why a queued request could not begin even if all machines taken out by the order were back; empty if it
     * could.
     */
    private List<MaintenanceConstraint> holdReasons(RequestStatus status, OutageLedger withoutOrder,
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
        List<String> blockedPredecessors = precedence.blocked(request);
        if (!blockedPredecessors.isEmpty()) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, blockedPredecessors.toArray(String[]::new)));
        }
        return withoutOrder.violations(indexById.get(machine.id()));
    }

    /**
     * Returns what a request that is not held waits for. If empty, the request begins now, and its machine is marked as
     * out in the ledger.
     */
    private List<MaintenanceConstraint> waitReasons(RequestStatus status, OutageLedger ledger, AdmissionQueue queue,
            PrecedenceGraph precedence) {
        MaintenanceRequest request = status.request();
        Machine machine = machines.get(request.machine());
        var reasons = new ArrayList<MaintenanceConstraint>();
        List<String> unfinishedPredecessors = precedence.unfinished(request);
        if (!unfinishedPredecessors.isEmpty()) {
            reasons.add(MaintenanceConstraint.of(MaintenanceRule.PIN, unfinishedPredecessors.toArray(String[]::new)));
        }
        if (budgets.windows().nextStart(now, budgets.outageMillis(request)) != now) {
            reasons.add(MaintenanceConstraint.windows());
        }
        if (!reasons.isEmpty()) {
            return reasons;
        }
        int index = indexById.get(machine.id());
        if (queue.isHeldBack(machine)) {
            List<MaintenanceConstraint> ownViolations = ledger.violations(index);
            return ownViolations.isEmpty()
                    ? List.of(MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "those ahead in the order"))
                    : ownViolations;
        }
        return queue.tryAdmit(index, machine) ? List.of() : ledger.violations(index);
    }
}
