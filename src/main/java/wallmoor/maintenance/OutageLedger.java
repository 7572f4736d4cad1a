package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Resource ledger: records which machines are out of service and counts them against the budgets and the blocks.
 * Machines are referred to by their index in the fleet. Not thread-safe.
 */
final class OutageLedger {
    /** Maximum number of machines named by one constraint; limits the size of the stored document. */
    private static final int MAX_NAMED_MACHINES = 8;

    private final FleetSnapshot fleet;
    private final Budgets budgets;
    private final Predicate<MaintenanceConstraint> enforced;
    private final Map<String, Integer> indexById;
    /** For each machine, the indexes of its blocks whose cover constraint is enforced. */
    private final int[][] blocksOf;
    /** For each block, the number of its holders in service. */
    private final int[] holdersInService;
    private final boolean[] out;
    /** For each machine, the capacity lost by its outage, in millionths of a unit. */
    private final long[] lostCapacity;
    private final Map<String, Integer> outByCentre = new HashMap<>();
    private int outCount;
    /** Capacity of all nodes, in units. */
    private long totalCapacity;
    /** Capacity of the nodes in service, in millionths of a unit. */
    private long servingCapacity;
    private int servingGatherers;
    private int voters;
    private int servingVoters;

    /**
     * Creates a ledger with all machines in service.
     *
     * @param enforced accepts the constraints to enforce
     */
    OutageLedger(FleetSnapshot fleet, Budgets budgets, Predicate<MaintenanceConstraint> enforced) {
        this.fleet = fleet;
        this.budgets = budgets;
        this.enforced = enforced;
        indexById = fleet.indexById();
        int machines = fleet.machines().size();
        out = new boolean[machines];
        lostCapacity = new long[machines];
        holdersInService = new int[fleet.blocks().size()];
        blocksOf = new int[machines][];
        countMachines();
        countHolders();
    }

    private void countMachines() {
        for (Machine machine : fleet.machines()) {
            if (machine.isNode()) {
                totalCapacity += machine.capacity();
            } else {
                servingGatherers++;
                servingVoters += machine.voter() ? 1 : 0;
            }
        }
        servingCapacity = totalCapacity * Budgets.MILLION;
        voters = servingVoters;
    }

    private void countHolders() {
        var blocks = new ArrayList<List<Integer>>();
        for (int i = 0; i < out.length; i++) {
            blocks.add(new ArrayList<>());
        }
        for (int blockIndex = 0; blockIndex < holdersInService.length; blockIndex++) {
            BlockHolders block = fleet.blocks().get(blockIndex);
            if (enforced.test(cover(block))) {
                for (String id : block.holders()) {
                    Integer index = indexById.get(id);
                    if (index != null) { // a holder that is not observed does not count
                        holdersInService[blockIndex]++;
                        blocks.get(index).add(blockIndex);
                    }
                }
            }
        }
        for (int i = 0; i < out.length; i++) {
            blocksOf[i] = blocks.get(i).stream().mapToInt(Integer::intValue).toArray();
        }
    }

    /** Returns the constraint that a block keeps a holder in service. */
    static MaintenanceConstraint cover(BlockHolders block) {
        return new MaintenanceConstraint(MaintenanceRule.COVER, block.holders(), List.of(block.id()), "");
    }

    /** Returns the index of a machine, or null if it is not observed. */
    Integer indexOf(String machine) {
        return indexById.get(machine);
    }

    boolean isOut(int machine) {
        return out[machine];
    }

    /** Takes a machine out of service with all its capacity. */
    void takeOut(int machine) {
        takeOut(machine, 0);
    }

    /**
     * Takes a machine out of service or into slow start. It no longer counts as a holder of its blocks.
     *
     * @param capacityShare share of its capacity that it still provides, in millionths
     */
    void takeOut(int machine, long capacityShare) {
        if (!out[machine]) {
            out[machine] = true;
            lostCapacity[machine] = (Budgets.MILLION - capacityShare) * fleet.machines().get(machine).capacity();
            updateCounts(machine, -1);
        }
    }

    /** Puts a machine back in service, past slow start. Does nothing if it is in service. */
    void putBack(int machine) {
        if (out[machine]) {
            out[machine] = false;
            updateCounts(machine, 1);
        }
    }

    /**
     * Updates the counts for a machine.
     *
     * @param sign 1 if the machine returns to service, -1 if it leaves
     */
    private void updateCounts(int index, int sign) {
        Machine machine = fleet.machines().get(index);
        outCount -= sign;
        outByCentre.merge(machine.centre(), -sign, Integer::sum);
        if (machine.isNode()) {
            servingCapacity += sign * lostCapacity[index];
            for (int block : blocksOf[index]) {
                holdersInService[block] += sign;
            }
        } else {
            servingGatherers += sign;
            servingVoters += machine.voter() ? sign : 0;
        }
    }

    int outCount() {
        return outCount;
    }

    /** Returns the share of the total node capacity that serves, in millionths. */
    int capacityLeft() {
        return totalCapacity == 0 ? Budgets.MILLION : (int) (servingCapacity / totalCapacity);
    }

    /** Returns the machines in service that are the only remaining holder of one of this machine's blocks. */
    Set<String> soleHolders(int machine) {
        var sole = new HashSet<String>();
        for (int block : blocksOf[machine]) {
            if (holdersInService[block] == 1) {
                fleet.blocks().get(block).holders().stream()
                        .filter(id -> indexById.containsKey(id) && !out[indexById.get(id)]).forEach(sole::add);
            }
        }
        return sole;
    }

    /** Returns whether a machine in service may go out of service. */
    boolean fits(int machine) {
        return firstViolations(machine).isEmpty();
    }

    /** Returns all constraints that the outage of a machine would violate, with the machines that cause it. */
    List<MaintenanceConstraint> violations(int machine) {
        return violations(machine, false);
    }

    /**
     * Returns one constraint that the outage of a machine would violate, or an empty list. Faster than {@link
     * #violations}, and names no machines.
     */
    List<MaintenanceConstraint> firstViolations(int machine) {
        return violations(machine, true);
    }

    private List<MaintenanceConstraint> violations(int index, boolean firstOnly) {
        var found = new ArrayList<MaintenanceConstraint>();
        Machine machine = fleet.machines().get(index);
        String centre = machine.centre();
        if (outCount + 1 > budgets.maxOut()) {
            addViolation(found, MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"), m -> true, firstOnly);
        }
        if (outByCentre.getOrDefault(centre, 0) + 1 > budgets.maxOutByCentre().getOrDefault(centre,
                Integer.MAX_VALUE)) {
            addViolation(found, MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres." + centre),
                    m -> m.centre().equals(centre), firstOnly);
        }
        if (machine.isNode()) {
            addNodeViolations(found, index, machine, firstOnly);
        } else {
            addGathererViolations(found, machine, firstOnly);
        }
        return found;
    }

    private void addNodeViolations(List<MaintenanceConstraint> found, int index, Machine node, boolean firstOnly) {
        if (servingCapacity - node.capacity() * Budgets.MILLION < totalCapacity * budgets.minCapacity()) {
            addViolation(found, MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"),
                    Machine::isNode, firstOnly);
        }
        for (int blockIndex : blocksOf[index]) {
            if (holdersInService[blockIndex] <= 1 && !(firstOnly && !found.isEmpty())) {
                BlockHolders block = fleet.blocks().get(blockIndex);
                List<String> missing = firstOnly ? List.of() : block.holders().stream()
                        .filter(id -> !indexById.containsKey(id) || out[indexById.get(id)]).sorted().toList();
                found.add(new MaintenanceConstraint(MaintenanceRule.COVER, missing, List.of(block.id()), ""));
            }
        }
    }

    private void addGathererViolations(List<MaintenanceConstraint> found, Machine gatherer, boolean firstOnly) {
        if (servingGatherers - 1 < budgets.minGatherers()) {
            addViolation(found, MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept"),
                    m -> !m.isNode(), firstOnly);
        }
        if (gatherer.voter() && (servingVoters - 1) * 2 <= voters) {
            addViolation(found, MaintenanceConstraint.of(MaintenanceRule.VOTERS), Machine::voter, firstOnly);
        }
    }

    /** Adds a violated constraint with the machines that are out of service and count against it. */
    private void addViolation(List<MaintenanceConstraint> found, MaintenanceConstraint violated,
            Predicate<Machine> counts, boolean firstOnly) {
        if (!enforced.test(violated) || (firstOnly && !found.isEmpty())) {
            return;
        }
        List<String> machinesOut = firstOnly ? List.of() : fleet.machines().stream()
                .filter(m -> out[indexById.get(m.id())] && counts.test(m)).map(Machine::id).sorted()
                .limit(MAX_NAMED_MACHINES).toList();
        found.add(new MaintenanceConstraint(violated.rule(), machinesOut, List.of(), violated.budget()));
    }
}
