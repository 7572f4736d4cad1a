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
 * Verifies a plan by replaying it against every rule: move by move in order, and wave by wave with all moves of a wave
 * at once. It shares only the records with the planner, and computes in decimals.
 */
public final class PlanVerifier {
    private final PlacementProblem problem;
    private final Map<String, StorageNode> nodes = new HashMap<>();
    private final Map<String, BlockReplicas> blocks = new HashMap<>();
    private final Map<String, Set<String>> holdersByBlock = new HashMap<>();
    private final Map<String, Long> usedMbByNode = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    private PlanVerifier(PlacementProblem problem) {
        this.problem = problem;
        problem.nodes().forEach(node -> nodes.put(node.id(), node));
        problem.blocks().forEach(block -> blocks.put(block.id(), block));
        reset();
    }

    /** Resets to the initial placement. */
    private void reset() {
        usedMbByNode.clear();
        for (BlockReplicas block : problem.blocks()) {
            holdersByBlock.put(block.id(), new TreeSet<>(block.holders()));
            block.holders().forEach(node -> usedMbByNode.merge(node, block.sizeMb(), Long::sum));
        }
    }

    /** Returns the violations of a plan, a sentence each; empty for a valid plan. */
    public static List<String> violations(PlacementProblem problem, PlacementResult.Plan plan) {
        var verifier = new PlanVerifier(problem);
        verifier.checkTotals(plan);
        verifier.replayMoves(plan.moves());
        if (verifier.violations.isEmpty()) {
            verifier.checkFinalPlacement();
            verifier.reset();
            verifier.replayWaves(plan.moves());
        }
        return List.copyOf(verifier.violations);
    }

    /** Checks the plan's totals, and that its moves name known nodes and blocks and have ascending waves. */
    private void checkTotals(PlacementResult.Plan plan) {
        long copiedMb = 0;
        int wave = 1;
        for (Move move : plan.moves()) {
            copiedMb += move.sizeMb();
            BlockReplicas block = blocks.get(move.block());
            if (block == null || !nodes.containsKey(move.from()) || !nodes.containsKey(move.to())
                    || block.sizeMb() != move.sizeMb()) {
                violations.add(move + ": the block or a node is unknown, or its size is not that of the block");
            }
            if ((move.wave() != wave && move.wave() != wave + 1) || move.wave() < 1) {
                violations.add(move + ": its wave must be " + wave + " or " + (wave + 1));
            }
            wave = move.wave();
        }
        if (!plan.moves().isEmpty() && plan.moves().get(0).wave() != 1) {
            violations.add("the first move is in wave " + plan.moves().get(0).wave() + ", required is wave 1");
        }
        if (copiedMb != plan.copiedMb() || plan.lowerBoundMb() > copiedMb
                || plan.optimal() != (plan.lowerBoundMb() == copiedMb)) {
            violations.add("the moves copy " + copiedMb + " MB, but the plan has mb " + plan.copiedMb()
                    + ", bound_mb " + plan.lowerBoundMb() + " and exact " + plan.optimal());
        }
    }

    private void replayMoves(List<Move> moves) {
        for (Move move : moves) {
            if (!violations.isEmpty()) {
                return;
            }
            checkMove(move, Map.of());
            apply(move);
        }
    }

    private void replayWaves(List<Move> moves) {
        int from = 0;
        while (from < moves.size() && violations.isEmpty()) {
            int to = from;
            Map<String, Long> arrivingMb = new HashMap<>();
            Set<String> movingBlocks = new HashSet<>();
            // each move is checked against the state before the wave plus what earlier moves of the wave bring
            while (to < moves.size() && moves.get(to).wave() == moves.get(from).wave()) {
                Move move = moves.get(to++);
                checkMove(move, arrivingMb);
                arrivingMb.merge(move.to(), move.sizeMb(), Long::sum);
                if (!movingBlocks.add(move.block())) {
                    violations.add(move + ": its block moves more than once in the wave");
                }
            }
            moves.subList(from, to).forEach(this::apply);
            from = to;
        }
    }

    private void apply(Move move) {
        holdersByBlock.get(move.block()).remove(move.from());
        holdersByBlock.get(move.block()).add(move.to());
        usedMbByNode.merge(move.from(), -move.sizeMb(), Long::sum);
        usedMbByNode.merge(move.to(), move.sizeMb(), Long::sum);
    }

    /**
     * Checks that a move is legal.
     *
     * @param arrivingMb megabytes that other moves of the wave bring to each node
     */
    private void checkMove(Move move, Map<String, Long> arrivingMb) {
        Set<String> holders = holdersByBlock.get(move.block());
        StorageNode to = nodes.get(move.to());
        if (!holders.contains(move.from()) || holders.contains(move.to())) {
            violations.add(move + ": the source node has no replica of the block, or the target node has one already");
        }
        if (to.draining()) {
            violations.add(move + ": the target node drains");
        }
        if (problem.spread() == FailureDomain.CELL && holders.stream()
                .anyMatch(h -> !h.equals(move.from()) && nodes.get(h).cell().equals(to.cell()))) {
            violations.add(move + ": another replica of the block is in cell " + to.cell());
        }
        if (!isWithinDisk(to, usedMb(move.to()) + arrivingMb.getOrDefault(move.to(), 0L) + move.sizeMb())) {
            violations.add(move + ": the target node has no room for it, its usable disk is " + usableMb(to) + " MB");
        }
    }

    /** Checks the final placement. */
    private void checkFinalPlacement() {
        BigDecimal fullest = null;
        BigDecimal emptiest = null;
        for (StorageNode node : problem.nodes()) {
            long usedMb = usedMb(node.id());
            if (node.draining()) {
                if (usedMb > 0) {
                    violations.add("node " + node.id() + " drains, but holds " + usedMb + " MB at the end");
                }
                continue;
            }
            if (!isWithinDisk(node, usedMb)) {
                violations.add("node " + node.id() + " holds " + usedMb + " MB at the end, its usable disk is "
                        + usableMb(node) + " MB");
            }
            BigDecimal share = BigDecimal.valueOf(usedMb).divide(usableMb(node), new java.math.MathContext(40));
            fullest = fullest == null || share.compareTo(fullest) > 0 ? share : fullest;
            emptiest = emptiest == null || share.compareTo(emptiest) < 0 ? share : emptiest;
        }
        // different values differ by 10^-30 or more: disks are at most 10^9 MB, headroom and level have six decimals
        if (problem.level() != PlacementProblem.NO_LEVEL && fullest != null && fullest.subtract(emptiest)
                .compareTo(BigDecimal.valueOf(problem.level(), 6).add(BigDecimal.valueOf(1, 32))) > 0) {
            violations.add("the used shares of the fullest and the emptiest node differ by "
                    + fullest.subtract(emptiest).stripTrailingZeros() + " at the end");
        }
        if (problem.spread() == FailureDomain.CELL) {
            holdersByBlock.forEach((block, holders) -> {
                if (holders.stream().map(h -> nodes.get(h).cell()).distinct().count() < holders.size()) {
                    violations.add("block " + block + " has two replicas in one cell at the end");
                }
            });
        }
    }

    private boolean isWithinDisk(StorageNode node, long mb) {
        return BigDecimal.valueOf(mb).compareTo(usableMb(node)) <= 0;
    }

    private BigDecimal usableMb(StorageNode node) {
        BigDecimal share = BigDecimal.ONE.subtract(BigDecimal.valueOf(problem.headroom(), 6));
        return BigDecimal.valueOf(node.diskMb()).multiply(share);
    }

    private long usedMb(String node) {
        return usedMbByNode.getOrDefault(node, 0L);
    }
}
