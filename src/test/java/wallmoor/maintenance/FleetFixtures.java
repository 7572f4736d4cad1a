package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/** Small fleets for tests: serving and warm unless a line says otherwise. */
final class FleetFixtures {
    static final long COLD = 18_000;
    static final long WARM_UP = 5_000;
    static final long PARTS = 5_000;

    private FleetFixtures() {}

    static Budgets budgets(int atOnce) {
        return new Budgets(atOnce, Map.of(), 0, 0, Budgets.MaintenanceWindows.ANY, COLD, 160_000, WARM_UP, PARTS,
                60_000, 30_000);
    }

    static Budgets kept(Budgets b, int capacity, int gatherers) {
        return new Budgets(b.maxOut(), b.maxOutByCentre(), capacity, gatherers, b.windows(), b.slowStartMillis(),
                b.slowStartShare(), b.observationMillis(),
                b.partTimeoutMillis(),
                b.drainTimeoutMillis(), b.overdueMillis());
    }

    static Budgets centres(Budgets b, Map<String, Integer> centres) {
        return new Budgets(b.maxOut(), centres, b.minCapacity(), b.minGatherers(), b.windows(), b.slowStartMillis(),
                b.slowStartShare(),
                b.observationMillis(),
                b.partTimeoutMillis(), b.drainTimeoutMillis(), b.overdueMillis());
    }

    static Budgets hours(Budgets b, Budgets.MaintenanceWindows hours) {
        return new Budgets(b.maxOut(), b.maxOutByCentre(), b.minCapacity(), b.minGatherers(), hours,
                b.slowStartMillis(), b.slowStartShare(),
                b.observationMillis(),
                b.partTimeoutMillis(), b.drainTimeoutMillis(), b.overdueMillis());
    }

    static Machine node(String id) {
        return machine(id, MachineRole.NODE, MachinePhase.SERVING, "1", COLD);
    }

    static Machine gatherer(String id) {
        return machine(id, MachineRole.GATHERER, MachinePhase.SERVING, "1", COLD);
    }

    /** Its data centre is its id's first letter. */
    static Machine machine(String id, MachineRole kind, MachinePhase phase, String life, long served) {
        return new Machine(id, kind, id.substring(0, 1), 1, kind == MachineRole.GATHERER, phase, life, PARTS, served);
    }

    static BlockHolders block(String id, String... on) {
        return new BlockHolders(id, List.of(on));
    }

    static FleetSnapshot fleet(List<Machine> machines, BlockHolders... blocks) {
        return new FleetSnapshot(machines, List.of(blocks), List.of(), 0, true, "");
    }

    /** The same with one machine as this one. */
    static FleetSnapshot with(FleetSnapshot f, Machine m) {
        var all = new ArrayList<>(f.machines());
        all.replaceAll(x -> x.id().equals(m.id()) ? m : x);
        return new FleetSnapshot(all, f.blocks(), f.reports(), f.expectedGatherers(), f.hasQuorum(), f.leader());
    }

    static FleetSnapshot phase(FleetSnapshot f, String id, MachinePhase phase) {
        Machine m = f.byId().get(id);
        return with(f, machine(id, m.role(), phase, m.incarnation(), m.servingMillis()));
    }

    static FleetSnapshot words(FleetSnapshot f, int gatherers, GathererReport... words) {
        return new FleetSnapshot(f.machines(), f.blocks(), List.of(words), gatherers, f.hasQuorum(), f.leader());
    }

    static FleetSnapshot quorum(FleetSnapshot f, boolean quorum, String leader) {
        return new FleetSnapshot(f.machines(), f.blocks(), f.reports(), f.expectedGatherers(), quorum, leader);
    }

    static GathererReport free(String gatherer, String... machines) {
        return new GathererReport(gatherer, 0, Set.of(machines), Map.of());
    }

    static MaintenanceRequest wish(String machine, String... after) {
        return wish(machine, 20_000, MaintenanceRequest.NO_DEADLINE, after);
    }

    static MaintenanceRequest wish(String machine, long lasts, long by, String... after) {
        return new MaintenanceRequest("w-" + machine, machine, lasts, by, "patch", "kim",
                new TreeSet<>(Arrays.asList(after)),
                new TreeSet<>());
    }

    static MaintenanceState ask(MaintenanceState state, long now, MaintenanceRequest... wishes) {
        MaintenanceState next = state;
        for (MaintenanceRequest w : wishes) {
            try {
                next = RequestOperations.submit(next, w, now);
            } catch (RequestRejectedException e) {
                throw new AssertionError(e);
            }
        }
        return next;
    }

    static MaintenanceStage step(MaintenanceState s, String machine) {
        return s.requests().get("w-" + machine).stage();
    }

    static List<MaintenanceConstraint> why(MaintenanceState s, String machine) {
        return s.requests().get("w-" + machine).reasons();
    }
}
