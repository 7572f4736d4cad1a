package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Who is out, held against the budgets and the blocks. Machines are told by their place in the fleet. */
final class OutageLedger {
    /** A reason names so many machines at most, as the document must hold it. */
    private static final int MOST_NAMED = 8;
    private final FleetSnapshot fleet;
    private final Budgets budgets;
    private final Predicate<MaintenanceConstraint> keeps;
    private final Map<String, Integer> places = new HashMap<>();
    private final int[][] blocksOf;
    private final int[] holders;
    private final boolean[] out;
    private final long[] lost;
    private final Map<String, Integer> outIn = new HashMap<>();
    private int outCount;
    private long nodes;
    private long serving;
    private int gatherers;
    private int voters;
    private int votersThere;

    /** One with all machines in service, which keeps some of the rules. */
    OutageLedger(FleetSnapshot fleet, Budgets budgets, Predicate<MaintenanceConstraint> keeps) {
        this.fleet = fleet;
        this.budgets = budgets;
        this.keeps = keeps;
        int n = fleet.machines().size();
        out = new boolean[n];
        lost = new long[n];
        for (int i = 0; i < n; i++) {
            Machine m = fleet.machines().get(i);
            places.put(m.id(), i);
            if (m.isNode()) {
                nodes += m.capacity();
            } else {
                gatherers++;
                votersThere += m.voter() ? 1 : 0;
            }
        }
        serving = nodes * Budgets.MILLION;
        voters = votersThere;
        holders = new int[fleet.blocks().size()];
        var lists = new ArrayList<List<Integer>>();
        for (int i = 0; i < n; i++) {
            lists.add(new ArrayList<>());
        }
        for (int b = 0; b < holders.length; b++) {
            BlockHolders block = fleet.blocks().get(b);
            if (keeps.test(cover(block))) {
                for (String id : block.holders()) {
                    Integer at = places.get(id);
                    if (at != null) { // a holder that nobody sees is none
                        holders[b]++;
                        lists.get(at).add(b);
                    }
                }
            }
        }
        blocksOf = new int[n][];
        for (int i = 0; i < n; i++) {
            blocksOf[i] = lists.get(i).stream().mapToInt(Integer::intValue).toArray();
        }
    }

    static MaintenanceConstraint cover(BlockHolders block) {
        return new MaintenanceConstraint(MaintenanceRule.COVER, block.holders(), List.of(block.id()), "");
    }

    /** The place of a machine, or null where nobody sees it. */
    Integer indexOf(String machine) {
        return places.get(machine);
    }

    boolean isOut(int m) {
        return out[m];
    }

    /** Out of service: nothing of it counts. */
    void takeOut(int m) {
        takeOut(m, 0);
    }

    /** Out of service, or cold: it holds nothing, and gives so many millionths of its capacity. */
    void takeOut(int m, long warmth) {
        if (!out[m]) {
            out[m] = true;
            change(m, -1, (Budgets.MILLION - warmth) * fleet.machines().get(m).capacity());
        }
    }

    /** Back in service, and warm. */
    void putBack(int m) {
        if (out[m]) {
            out[m] = false;
            change(m, 1, lost[m]);
        }
    }

    private void change(int m, int by, long capacity) {
        Machine machine = fleet.machines().get(m);
        outCount -= by;
        outIn.merge(machine.centre(), -by, Integer::sum);
        if (machine.isNode()) {
            lost[m] = capacity;
            serving += by * capacity;
            for (int b : blocksOf[m]) {
                holders[b] += by;
            }
        } else {
            gatherers += by;
            votersThere += machine.voter() ? by : 0;
        }
    }

    int outCount() {
        return outCount;
    }

    /** Of the nodes' capacity, in millionths. */
    int capacityLeft() {
        return nodes == 0 ? Budgets.MILLION : (int) (serving / nodes);
    }

    /** Machines in service that are the only sound, warm holder of a block, of those that this one holds. */
    Set<String> soleHolders(int m) {
        var last = new HashSet<String>();
        for (int b : blocksOf[m]) {
            if (holders[b] == 1) {
                fleet.blocks().get(b).holders().stream().filter(id -> places.containsKey(id) && !out[places.get(id)])
                        .forEach(last::add);
            }
        }
        return last;
    }

    /** Whether a machine in service may go. */
    boolean fits(int m) {
        return violations(m, true).isEmpty();
    }

    /** All that stands against it. */
    List<MaintenanceConstraint> violations(int m) {
        return violations(m, false);
    }

    /** What stands against it; {@code one} tells the first alone and names nobody, which is quick. */
    List<MaintenanceConstraint> violations(int m, boolean one) {
        var why = new ArrayList<MaintenanceConstraint>();
        Machine machine = fleet.machines().get(m);
        String centre = machine.centre();
        if (outCount + 1 > budgets.maxOut()) {
            add(why, MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"), x -> true, one);
        }
        if (outIn.getOrDefault(centre, 0) + 1 > budgets.maxOutByCentre().getOrDefault(centre, Integer.MAX_VALUE)) {
            add(why, MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres." + centre),
                    x -> x.centre().equals(centre), one);
        }
        if (machine.isNode()) {
            if (serving - machine.capacity() * Budgets.MILLION < nodes * budgets.minCapacity()) {
                add(why, MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"), Machine::isNode, one);
            }
            for (int b : blocksOf[m]) {
                if (holders[b] <= 1 && !(one && !why.isEmpty())) {
                    BlockHolders block = fleet.blocks().get(b);
                    why.add(new MaintenanceConstraint(MaintenanceRule.COVER, one ? List.of() : block.holders().stream()
                            .filter(id -> !places.containsKey(id) || out[places.get(id)]).sorted().toList(),
                            List.of(block.id()), ""));
                }
            }
        } else {
            if (gatherers - 1 < budgets.minGatherers()) {
                add(why, MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept"), x -> !x.isNode(),
                        one);
            }
            if (machine.voter() && (votersThere - 1) * 2 <= voters) {
                add(why, MaintenanceConstraint.of(MaintenanceRule.VOTERS), Machine::voter, one);
            }
        }
        return why;
    }

    private void add(List<MaintenanceConstraint> why, MaintenanceConstraint rule, Predicate<Machine> whose,
            boolean one) {
        if (!keeps.test(rule) || one && !why.isEmpty()) {
            return;
        }
        List<String> culprits = one ? List.of() : fleet.machines().stream()
                .filter(x -> out[places.get(x.id())] && whose.test(x)).map(Machine::id).sorted()
                .limit(MOST_NAMED).toList();
        why.add(new MaintenanceConstraint(rule.rule(), culprits, List.of(), rule.budget()));
    }
}
