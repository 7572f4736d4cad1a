package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/** Builds small fleets for tests. Machines serve and are past slow start unless a call sets otherwise. */
final class FleetFixtures {
    static final long SLOW_START_MILLIS = 18_000;
    static final long OBSERVATION_MILLIS = 5_000;
    static final long PART_TIMEOUT_MILLIS = 5_000;

    private FleetFixtures() {}

    static Budgets budgets(int maxOut) {
        return new Budgets(maxOut, Map.of(), 0, 0, Budgets.MaintenanceWindows.ANY, SLOW_START_MILLIS, 160_000,
                OBSERVATION_MILLIS, PART_TIMEOUT_MILLIS, 60_000, 30_000);
    }

    static Budgets withMinimums(Budgets budgets, int minCapacity, int minGatherers) {
        return new Budgets(budgets.maxOut(), budgets.maxOutByCentre(), minCapacity, minGatherers, budgets.windows(),
                budgets.slowStartMillis(), budgets.slowStartShare(), budgets.observationMillis(),
                budgets.partTimeoutMillis(), budgets.drainTimeoutMillis(), budgets.overdueMillis());
    }

    static Budgets withCentreLimits(Budgets budgets, Map<String, Integer> maxOutByCentre) {
        return new Budgets(budgets.maxOut(), maxOutByCentre, budgets.minCapacity(), budgets.minGatherers(),
                budgets.windows(), budgets.slowStartMillis(), budgets.slowStartShare(), budgets.observationMillis(),
                budgets.partTimeoutMillis(), budgets.drainTimeoutMillis(), budgets.overdueMillis());
    }

    static Budgets withWindows(Budgets budgets, Budgets.MaintenanceWindows windows) {
        return new Budgets(budgets.maxOut(), budgets.maxOutByCentre(), budgets.minCapacity(), budgets.minGatherers(),
                windows, budgets.slowStartMillis(), budgets.slowStartShare(), budgets.observationMillis(),
                budgets.partTimeoutMillis(), budgets.drainTimeoutMillis(), budgets.overdueMillis());
    }

    static Machine node(String id) {
        return machine(id, MachineRole.NODE, MachinePhase.SERVING, "1", SLOW_START_MILLIS);
    }

    static Machine gatherer(String id) {
        return machine(id, MachineRole.GATHERER, MachinePhase.SERVING, "1", SLOW_START_MILLIS);
    }

    /** Creates a machine whose data centre is the first letter of its id. */
    static Machine machine(String id, MachineRole role, MachinePhase phase, String incarnation, long servingMillis) {
        return new Machine(id, role, id.substring(0, 1), 1, role == MachineRole.GATHERER, phase, incarnation,
                PART_TIMEOUT_MILLIS, servingMillis);
    }

    static BlockHolders block(String id, String... holders) {
        return new BlockHolders(id, List.of(holders));
    }

    static FleetSnapshot fleet(List<Machine> machines, BlockHolders... blocks) {
        return new FleetSnapshot(machines, List.of(blocks), List.of(), 0, true, "");
    }

    /** Returns the fleet with the machine of the same id replaced. */
    static FleetSnapshot withMachine(FleetSnapshot fleet, Machine machine) {
        var machines = new ArrayList<>(fleet.machines());
        machines.replaceAll(x -> x.id().equals(machine.id()) ? machine : x);
        return new FleetSnapshot(machines, fleet.blocks(), fleet.reports(), fleet.expectedGatherers(),
                fleet.hasQuorum(), fleet.leader());
    }

    static FleetSnapshot withPhase(FleetSnapshot fleet, String id, MachinePhase phase) {
        Machine machine = fleet.byId().get(id);
        return withMachine(fleet, machine(id, machine.role(), phase, machine.incarnation(), machine.servingMillis()));
    }

    static FleetSnapshot withReports(FleetSnapshot fleet, int expectedGatherers, GathererReport... reports) {
        return new FleetSnapshot(fleet.machines(), fleet.blocks(), List.of(reports), expectedGatherers,
                fleet.hasQuorum(), fleet.leader());
    }

    static FleetSnapshot withQuorum(FleetSnapshot fleet, boolean hasQuorum, String leader) {
        return new FleetSnapshot(fleet.machines(), fleet.blocks(), fleet.reports(), fleet.expectedGatherers(),
                hasQuorum, leader);
    }

    static GathererReport drainedReport(String gatherer, String... machines) {
        return new GathererReport(gatherer, 0, Set.of(machines), Map.of());
    }

    static MaintenanceRequest request(String machine, String... after) {
        return request(machine, 20_000, MaintenanceRequest.NO_DEADLINE, after);
    }

    static MaintenanceRequest request(String machine, long workMillis, long deadline, String... after) {
        return new MaintenanceRequest("w-" + machine, machine, workMillis, deadline, "patch", "kim",
                new TreeSet<>(Arrays.asList(after)),
                new TreeSet<>());
    }

    static MaintenanceState submit(MaintenanceState state, long now, MaintenanceRequest... requests) {
        MaintenanceState next = state;
        for (MaintenanceRequest request : requests) {
            try {
                next = RequestOperations.submit(next, request, now);
            } catch (RequestRejectedException e) {
                throw new AssertionError(e);
            }
        }
        return next;
    }

    static MaintenanceStage stageOf(MaintenanceState state, String machine) {
        return state.requests().get("w-" + machine).stage();
    }

    static List<MaintenanceConstraint> reasonsOf(MaintenanceState state, String machine) {
        return state.requests().get("w-" + machine).reasons();
    }
}
