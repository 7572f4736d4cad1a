package wallmoor.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/**
 * Simulates a fleet on which the versions of the state machine are executed. The actual state of the fleet is kept
 * apart from its observed state. {@link MaintenanceInvariants} checks each version. When staff take a machine down, no
 * part may be in flight on it; when a request is done, its machine must actually serve past slow start.
 */
final class MaintenanceSimulation {
    /** How long an unreachable gatherer continues to send parts. With the longest part, it makes the part timeout. */
    static final long LEASE_MILLIS = 2_000;
    /** The duration of the longest part. */
    static final long MAX_PART_MILLIS = 3_000;

    static final class SimulatedMachine {
        final Machine description;
        boolean isUp = true;
        boolean isListed = true;
        int incarnation = 1;
        long servingMillis = FleetFixtures.SLOW_START_MILLIS;
        long phaseSince;
        /** When the work of staff on the machine ends; 0 if there is none. */
        long returnsAt;

        SimulatedMachine(Machine description) {
            this.description = description;
        }
    }

    static final class SimulatedGatherer {
        boolean isPartitioned;
        long silentSince;
        Set<String> avoids = new TreeSet<>();
        final List<Map.Entry<String, Long>> parts = new ArrayList<>();
        GathererReport lastReport;
    }

    final Random random;
    final Map<String, SimulatedMachine> machinesById = new TreeMap<>();
    final Map<String, SimulatedGatherer> gatherersById = new TreeMap<>();
    final List<BlockHolders> blocks;
    Budgets budgets;
    long now = 1_000_000_000_000L;
    long skew;
    MaintenanceState active = MaintenanceState.EMPTY;
    boolean hasQuorum = true;
    String leader;
    /** Probability that an action is performed, a version is agreed, or a gatherer receives the endpoint list. */
    double successProbability = 1;
    /** Whether staff return machines when their work ends. */
    boolean staffReturnMachines = true;
    int tickCount;

    MaintenanceSimulation(long seed, List<Machine> machines, List<BlockHolders> blocks, Budgets budgets) {
        this.random = new Random(seed);
        this.blocks = blocks;
        this.budgets = budgets;
        machines.forEach(m -> {
            machinesById.put(m.id(), new SimulatedMachine(m));
            machinesById.get(m.id()).phaseSince = now;
            if (m.role() == MachineRole.GATHERER) {
                gatherersById.put(m.id(), new SimulatedGatherer());
            }
        });
        leader = gatherersById.isEmpty() ? "" : gatherersById.keySet().iterator().next();
    }

    private boolean succeeds() {
        return random.nextDouble() < successProbability;
    }

    void crash(String id) {
        SimulatedMachine machine = machinesById.get(id);
        machine.isUp = false;
        machine.phaseSince = now;
        gatherersById.values().forEach(gatherer -> gatherer.parts.removeIf(p -> p.getKey().equals(id)));
        if (gatherersById.containsKey(id)) {
            gatherersById.get(id).parts.clear();
            gatherersById.get(id).silentSince = now - LEASE_MILLIS; // it starts without a lease
        }
    }

    void start(String id) {
        SimulatedMachine machine = machinesById.get(id);
        if (!machine.isUp && machine.returnsAt == 0) {
            machine.isUp = true;
            machine.incarnation++;
            machine.servingMillis = 0;
            machine.phaseSince = now;
        }
    }

    void setPartitioned(String id, boolean isPartitioned) {
        gatherersById.get(id).isPartitioned = isPartitioned;
        markSilent(id);
    }

    private void markSilent(String id) {
        gatherersById.get(id).silentSince = Math.max(gatherersById.get(id).silentSince, 0) == 0 ? now
                : gatherersById.get(id).silentSince;
    }

    private boolean isReachable(String id) {
        return machinesById.get(id).isUp && !gatherersById.get(id).isPartitioned;
    }

    /** Advances the time, then lets traffic, state machine and actions take one step. */
    void tick(long elapsedMillis) {
        now += elapsedMillis;
        machinesById.forEach((id, machine) -> {
            machine.servingMillis += machine.isUp && machine.isListed ? elapsedMillis : 0;
            if (machine.returnsAt != 0 && machine.returnsAt <= now && staffReturnMachines) {
                machine.returnsAt = 0;
                start(id);
            }
        });
        gatherersById.forEach(this::exchangeTraffic);
        FleetSnapshot observed = observedFleet();
        MaintenanceState before = active;
        MaintenanceState next = MaintenanceStateMachine.next(now + skew, before, observed, budgets);
        if (tickCount % 8 == 0) { // the state machine is deterministic, and the stored form is lossless
            assertEquals(next, MaintenanceStateMachine.next(now + skew, MaintenanceInvariants.roundTrip(before),
                    observed, budgets));
        }
        MaintenanceInvariants.checkVersion(before, next, observed, budgets);
        if (succeeds()) { // otherwise the version was not agreed
            active = next;
            next.requests().forEach((id, s) -> {
                if (s.stage() == MaintenanceStage.DONE && before.requests().get(id).stage() != MaintenanceStage.DONE) {
                    assertTrue(isActuallyDone(machinesById.get(s.request().machine())),
                            id + " is done, but its machine does not actually serve");
                }
            });
        }
        tickCount++;
        MaintenanceAction.due(active, observed, budgets).forEach(action -> {
            if (succeeds()) {
                perform(action);
            }
        });
    }

    private boolean isActuallyDone(SimulatedMachine machine) {
        long observed = skew == 0 && tickCount > 0 ? budgets.observationMillis() : 0;
        return machine.isUp && machine.isListed
                && (machine.description.role() == MachineRole.GATHERER
                        || machine.servingMillis >= budgets.slowStartMillis() + observed);
    }

    /** Lets a gatherer send a part, at random, to a node that it does not avoid. */
    private void send(String gathererId, SimulatedGatherer gatherer, String machineId, SimulatedMachine machine) {
        if (machine.description.role() == MachineRole.NODE && !gatherer.avoids.contains(machineId)) {
            assertTrue(machine.returnsAt == 0 || machine.isListed,
                    gathererId + " sends to " + machineId + " during the work of staff");
            if (machine.isUp && random.nextBoolean()) {
                gatherer.parts.add(Map.entry(machineId, now + 1 + random.nextInt((int) MAX_PART_MILLIS)));
            }
        }
    }

    private void exchangeTraffic(String id, SimulatedGatherer gatherer) {
        SimulatedMachine ownMachine = machinesById.get(id);
        gatherer.parts.removeIf(p -> p.getValue() <= now);
        if (isReachable(id)) {
            // a gatherer that regains its lease receives the current list
            if (gatherer.silentSince != 0 || succeeds()) {
                var avoids = new TreeSet<String>();
                machinesById.forEach((m, machine) -> {
                    if (!machine.isListed) {
                        avoids.add(m);
                    }
                });
                gatherer.avoids = avoids;
            }
            gatherer.silentSince = 0;
        }
        if (ownMachine.isUp && (gatherer.silentSince == 0 || now < gatherer.silentSince + LEASE_MILLIS)) {
            machinesById.forEach((m, machine) -> send(id, gatherer, m, machine));
        }
        if (gatherer.silentSince == 0) {
            Map<String, Integer> inFlight = new HashMap<>();
            gatherer.parts.forEach(p -> inFlight.merge(p.getKey(), 1, Integer::sum));
            gatherer.lastReport = new GathererReport(id, 0, gatherer.avoids, inFlight);
        }
    }

    private void perform(MaintenanceAction action) {
        SimulatedMachine machine = machinesById.get(action.machine());
        switch (action.type()) {
            case DRAIN, HAND_OVER -> setListed(machine, false);
            case SERVE -> setListed(machine, true);
            case TRANSFER_LEADERSHIP ->
                leader = gatherersById.keySet().stream()
                        .filter(gatherer -> !gatherer.equals(action.machine()) && isReachable(gatherer)).findFirst()
                        .orElse(leader);
            case NOTIFY_FREE -> {
                if (machine.isUp) {
                    gatherersById.forEach((id, gatherer) -> assertTrue(
                            !machinesById.get(id).isUp || gatherer.parts.stream()
                                    .noneMatch(p -> p.getKey().equals(action.machine()) && p.getValue() > now),
                            "parts are in flight on " + action.machine()));
                    crash(action.machine());
                    machine.returnsAt = now + 1 + random.nextInt(25_000);
                }
            }
            default -> {}
        }
    }

    void setListed(SimulatedMachine machine, boolean isListed) {
        if (machine.isListed != isListed) {
            machine.isListed = isListed;
            machine.phaseSince = now;
        }
    }

    FleetSnapshot observedFleet() {
        var machines = new ArrayList<Machine>();
        machinesById.forEach((id, machine) -> machines.add(new Machine(id, machine.description.role(),
                machine.description.centre(), machine.description.capacity(), machine.description.voter(),
                !machine.isUp ? MachinePhase.AWAY : machine.isListed ? MachinePhase.SERVING : MachinePhase.DRAINING,
                "" + machine.incarnation, now - machine.phaseSince, machine.servingMillis)));
        var reports = new ArrayList<GathererReport>();
        gatherersById.forEach((id, gatherer) -> {
            if (gatherer.lastReport != null) {
                reports.add(new GathererReport(id,
                        gatherer.silentSince == 0 ? 0 : now - gatherer.silentSince + 1,
                        gatherer.lastReport.avoids(), gatherer.lastReport.inFlight()));
            }
        });
        return new FleetSnapshot(machines, blocks, reports, gatherersById.size(), hasQuorum, leader);
    }

    /** Ends all faults and resumes all that staff hold. */
    void heal(Budgets normalBudgets) {
        budgets = normalBudgets;
        skew = 0;
        successProbability = 1;
        staffReturnMachines = true;
        hasQuorum = true;
        gatherersById.keySet().forEach(gatherer -> setPartitioned(gatherer, false));
        machinesById.keySet().forEach(this::start);
        active = RequestOperations.hold(active, false);
        for (String id : active.requests().keySet()) {
            try {
                active = RequestOperations.hold(active, id, false);
            } catch (RequestRejectedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Runs until every request has ended or is held for a reason that only staff can resolve, and checks this. */
    void settle(long tickMillis) {
        for (int i = 0; i < 400
                && active.requests().values().stream().anyMatch(s -> !s.stage().isFinal() && !needsStaff(s)); i++) {
            tick(tickMillis);
        }
        active.requests().forEach((id, s) -> assertTrue(s.stage().isFinal() || needsStaff(s),
                () -> s + " in " + active + observedFleet()));
        machinesById.forEach((id, machine) -> assertTrue(machine.isUp && machine.isListed, id + " does not serve"));
    }

    private static boolean needsStaff(RequestStatus status) {
        return status.stage() == MaintenanceStage.HELD && status.reasons().stream()
                .allMatch(r -> r.rule() == MaintenanceRule.BY || r.rule() == MaintenanceRule.PIN);
    }
}
