package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Resource ledger: which machines are out of service, counted against the budgets and the blocks. Machines are
 * referred to by their index in the fleet. Not thread-safe.
 */
final class OutageLedger {
    /** Machines named by one constraint, as the document has to hold it. */
    private static final int MAX_NAMED = 8;

    private final FleetSnapshot fleet;
    private final Budgets budgets;
    private final Predicate<MaintenanceConstraint> enforced;
    private final Map<String, Integer> indexById;
    /** By machine, the indexes of its blocks whose cover is enforced. */
    private final int[][] blocksOf;
    /** By block, how many machines in service hold it. */
    private final int[] holders;
    private final boolean[] out;
    /** By machine, the capacity that its outage takes, in millionths of a unit. */
    private final long[] lostCapacity;
    private final Map<String, Integer> outByCentre = new HashMap<>();
    private int outCount;
    /** Of all nodes, in units. */
    private long totalCapacity;
    /** Of nodes in service, in millionths of a unit. */
    private long servingCapacity;
    private int servingGatherers;
    private int voters;
    private int servingVoters;

    /**
     * A ledger with all machines in service.
     *
     * @param enforced the constraints that count
     */
    OutageLedger(FleetSnapshot fleet, Budgets budgets, Predicate<MaintenanceConstraint> enforced) {
        this.fleet = fleet;
        this.budgets = budgets;
        this.enforced = enforced;
        indexById = fleet.indexById();
        int machines = fleet.machines().size();
        out = new boolean[machines];
        lostCapacity = new long[machines];
        holders = new int[fleet.blocks().size()];
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
        for (int b = 0; b < holders.length; b++) {
            BlockHolders block = fleet.blocks().get(b);
            if (enforced.test(cover(block))) {
                for (String id : block.holders()) {
                    Integer index = indexById.get(id);
                    if (index != null) { // a holder that nobody observes is none
                        holders[b]++;
                        blocks.get(index).add(b);
                    }
                }
            }
        }
        for (int i = 0; i < out.length; i++) {
            blocksOf[i] = blocks.get(i).stream().mapToInt(Integer::intValue).toArray();
        }
    }

    /** The constraint that a block keeps a holder. */
    static MaintenanceConstraint cover(BlockHolders block) {
        return new MaintenanceConstraint(MaintenanceRule.COVER, block.holders(), List.of(block.id()), "");
    }

    /** The index of a machine, or null where nobody observes it. */
    Integer indexOf(String machine) {
        return indexById.get(machine);
    }

    boolean isOut(int machine) {
        return out[machine];
    }

    /** Takes a machine out of service completely. */
    void takeOut(int machine) {
        takeOut(machine, 0);
    }

    /**
     * Takes a machine out of service, or into slow start: it holds no block.
     *
     * @param capacityShare what it still gives, in millionths of its capacity
     */
    void takeOut(int machine, long capacityShare) {
        if (!out[machine]) {
            out[machine] = true;
            lostCapacity[machine] = (Budgets.MILLION - capacityShare) * fleet.machines().get(machine).capacity();
            count(machine, -1);
        }
    }

    /** Puts a machine back in service, past slow start. */
    void putBack(int machine) {
        if (out[machine]) {
            out[machine] = false;
            count(machine, 1);
        }
    }

    /** @param sign 1 where the machine comes back, -1 where it goes */
    private void count(int index, int sign) {
        Machine machine = fleet.machines().get(index);
        outCount -= sign;
        outByCentre.merge(machine.centre(), -sign, Integer::sum);
        if (machine.isNode()) {
            servingCapacity += sign * lostCapacity[index];
            for (int block : blocksOf[index]) {
                holders[block] += sign;
            }
        } else {
            servingGatherers += sign;
            servingVoters += machine.voter() ? sign : 0;
        }
    }

    int outCount() {
        return outCount;
    }

    /** The share of the nodes' capacity that serves, in millionths. */
    int capacityLeft() {
        return totalCapacity == 0 ? Budgets.MILLION : (int) (servingCapacity / totalCapacity);
    }

    /** Machines in service that are the only holder left of one of this machine's blocks. */
    Set<String> soleHolders(int machine) {
        var sole = new HashSet<String>();
        for (int block : blocksOf[machine]) {
            if (holders[block] == 1) {
                fleet.blocks().get(block).holders().stream()
                        .filter(id -> indexById.containsKey(id) && !out[indexById.get(id)]).forEach(sole::add);
            }
        }
        return sole;
    }

    /** Whether a machine in service may go. */
    boolean fits(int machine) {
        return firstViolations(machine).isEmpty();
    }

    /** All constraints that a machine would violate by going, with the machines that are the reason. */
    List<MaintenanceConstraint> violations(int machine) {
        return violations(machine, false);
    }

    /** One constraint that a machine would violate by going, if any; quick, and names no machine. */
    List<MaintenanceConstraint> firstViolations(int machine) {
        return violations(machine, true);
    }

    private List<MaintenanceConstraint> violations(int index, boolean firstOnly) {
        var found = new ArrayList<MaintenanceConstraint>();
        Machine machine = fleet.machines().get(index);
        String centre = machine.centre();
        if (outCount + 1 > budgets.maxOut()) {
            add(found, MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"), m -> true, firstOnly);
        }
        if (outByCentre.getOrDefault(centre, 0) + 1 > budgets.maxOutByCentre().getOrDefault(centre,
                Integer.MAX_VALUE)) {
            add(found, MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres." + centre),
                    m -> m.centre().equals(centre), firstOnly);
        }
        if (machine.isNode()) {
            addOfNode(found, index, machine, firstOnly);
        } else {
            addOfGatherer(found, machine, firstOnly);
        }
        return found;
    }

    private void addOfNode(List<MaintenanceConstraint> found, int index, Machine node, boolean firstOnly) {
        if (servingCapacity - node.capacity() * Budgets.MILLION < totalCapacity * budgets.minCapacity()) {
            add(found, MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"), Machine::isNode,
                    firstOnly);
        }
        for (int b : blocksOf[index]) {
            if (holders[b] <= 1 && !(firstOnly && !found.isEmpty())) {
                BlockHolders block = fleet.blocks().get(b);
                List<String> missing = firstOnly ? List.of() : block.holders().stream()
                        .filter(id -> !indexById.containsKey(id) || out[indexById.get(id)]).sorted().toList();
                found.add(new MaintenanceConstraint(MaintenanceRule.COVER, missing, List.of(block.id()), ""));
            }
        }
    }

    private void addOfGatherer(List<MaintenanceConstraint> found, Machine gatherer, boolean firstOnly) {
        if (servingGatherers - 1 < budgets.minGatherers()) {
            add(found, MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept"), m -> !m.isNode(),
                    firstOnly);
        }
        if (gatherer.voter() && (servingVoters - 1) * 2 <= voters) {
            add(found, MaintenanceConstraint.of(MaintenanceRule.VOTERS), Machine::voter, firstOnly);
        }
    }

    /** Adds a violated constraint, with the machines that are out and count for it. */
    private void add(List<MaintenanceConstraint> found, MaintenanceConstraint violated, Predicate<Machine> counts,
            boolean firstOnly) {
        if (!enforced.test(violated) || (firstOnly && !found.isEmpty())) {
            return;
        }
        List<String> culprits = firstOnly ? List.of() : fleet.machines().stream()
                .filter(m -> out[indexById.get(m.id())] && counts.test(m)).map(Machine::id).sorted()
                .limit(MAX_NAMED).toList();
        found.add(new MaintenanceConstraint(violated.rule(), culprits, List.of(), violated.budget()));
    }
}
