package wallmoor.placement;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Replays a plan against every rule: move by move in its order, and wave by wave with all of a wave's moves at once. It
 * shares nothing with what makes plans but the records, and computes in decimals.
 */
public final class PlanVerifier {
    private final PlacementProblem fleet;
    private final Map<String, StorageNode> nodes = new HashMap<>();
    private final Map<String, BlockReplicas> blocks = new HashMap<>();
    private final Map<String, Set<String>> on = new HashMap<>();
    private final Map<String, Long> held = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    private PlanVerifier(PlacementProblem fleet) {
        this.fleet = fleet;
        fleet.nodes().forEach(n -> nodes.put(n.id(), n));
        fleet.blocks().forEach(b -> blocks.put(b.id(), b));
        begin();
    }

    private void begin() {
        held.clear();
        for (BlockReplicas b : fleet.blocks()) {
            on.put(b.id(), new TreeSet<>(b.holders()));
            b.holders().forEach(n -> held.merge(n, b.sizeMb(), Long::sum));
        }
    }

    /** All that is wrong with a plan, a sentence each; empty for a sound one. */
    public static List<String> violations(PlacementProblem fleet, PlacementResult.Plan plan) {
        var check = new PlanVerifier(fleet);
        check.figures(plan);
        check.oneByOne(plan.moves());
        if (check.violations.isEmpty()) {
            check.end();
            check.begin();
            check.byWaves(plan.moves());
        }
        return List.copyOf(check.violations);
    }

    private void figures(PlacementResult.Plan plan) {
        long sum = 0;
        int wave = 1;
        for (Move m : plan.moves()) {
            sum += m.sizeMb();
            BlockReplicas b = blocks.get(m.block());
            if (b == null || !nodes.containsKey(m.from()) || !nodes.containsKey(m.to()) || b.sizeMb() != m.sizeMb()) {
                violations.add(m + ": names what is not there, or another size");
            }
            if ((m.wave() != wave && m.wave() != wave + 1) || m.wave() < 1) {
                violations.add(m + ": its wave does not follow");
            }
            wave = m.wave();
        }
        if (!plan.moves().isEmpty() && plan.moves().get(0).wave() != 1) {
            violations.add("the first wave is not 1");
        }
        if (sum != plan.copiedMb() || plan.lowerBoundMb() > sum || plan.optimal() != (plan.lowerBoundMb() == sum)) {
            violations.add("mb is " + plan.copiedMb() + " and bound_mb " + plan.lowerBoundMb()
                    + " where the moves copy " + sum);
        }
    }

    private void oneByOne(List<Move> moves) {
        for (Move m : moves) {
            if (!violations.isEmpty()) {
                return;
            }
            legal(m, Map.of());
            carry(m);
        }
    }

    private void byWaves(List<Move> moves) {
        int from = 0;
        while (from < moves.size() && violations.isEmpty()) {
            int to = from;
            Map<String, Long> coming = new HashMap<>();
            Set<String> moving = new HashSet<>();
            // each is judged as the wave begins, with all that comes in the wave beside it
            while (to < moves.size() && moves.get(to).wave() == moves.get(from).wave()) {
                Move m = moves.get(to++);
                legal(m, coming);
                coming.merge(m.to(), m.sizeMb(), Long::sum);
                if (!moving.add(m.block())) {
                    violations.add(m + ": its block moves twice in a wave");
                }
            }
            moves.subList(from, to).forEach(this::carry);
            from = to;
        }
    }

    private void carry(Move m) {
        on.get(m.block()).remove(m.from());
        on.get(m.block()).add(m.to());
        held.merge(m.from(), -m.sizeMb(), Long::sum);
        held.merge(m.to(), m.sizeMb(), Long::sum);
    }

    private void legal(Move m, Map<String, Long> coming) {
        Set<String> holders = on.get(m.block());
        StorageNode to = nodes.get(m.to());
        if (!holders.contains(m.from()) || holders.contains(m.to())) {
            violations.add(m + ": is not on the one, or is on the other");
        }
        if (to.draining()) {
            violations.add(m + ": goes to a node that drains");
        }
        if (fleet.spread() == FailureDomain.CELL && holders.stream()
                .anyMatch(h -> !h.equals(m.from()) && nodes.get(h).cell().equals(to.cell()))) {
            violations.add(m + ": another copy is in cell " + to.cell());
        }
        if (!within(to, used(m.to()) + coming.getOrDefault(m.to(), 0L) + m.sizeMb())) {
            violations.add(m + ": there is no room for it");
        }
    }

    private void end() {
        BigDecimal fullest = null;
        BigDecimal emptiest = null;
        for (StorageNode n : fleet.nodes()) {
            long used = used(n.id());
            if (n.draining()) {
                if (used > 0) {
                    violations.add(n.id() + " drains and ends with " + used + " MB");
                }
                continue;
            }
            if (!within(n, used)) {
                violations.add(n.id() + " ends over its bound");
            }
            BigDecimal share = BigDecimal.valueOf(used).divide(usable(n), new java.math.MathContext(40));
            fullest = fullest == null || share.compareTo(fullest) > 0 ? share : fullest;
            emptiest = emptiest == null || share.compareTo(emptiest) < 0 ? share : emptiest;
        }
        // what differs, differs by 10^-30 or more: disks are under 10^9, headroom and level have six decimals
        if (fleet.level() != PlacementProblem.NO_LEVEL && fullest != null && fullest.subtract(emptiest)
                .compareTo(BigDecimal.valueOf(fleet.level(), 6).add(BigDecimal.valueOf(1, 32))) > 0) {
            violations
                    .add("fullest less emptiest is " + fullest.subtract(emptiest).stripTrailingZeros() + " at the end");
        }
        if (fleet.spread() == FailureDomain.CELL) {
            on.forEach((b, holders) -> {
                if (holders.stream().map(h -> nodes.get(h).cell()).distinct().count() < holders.size()) {
                    violations.add(b + " ends with two copies in a cell");
                }
            });
        }
    }

    private boolean within(StorageNode n, long mb) {
        return BigDecimal.valueOf(mb).compareTo(usable(n)) <= 0;
    }

    private BigDecimal usable(StorageNode n) {
        BigDecimal share = BigDecimal.ONE.subtract(BigDecimal.valueOf(fleet.headroom(), 6));
        return BigDecimal.valueOf(n.diskMb()).multiply(share);
    }

    private long used(String node) {
        return held.getOrDefault(node, 0L);
    }
}
