package wallmoor.placement;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A placement problem as arrays, under all of its constraints or some of them. Nodes and blocks are indexes into the
 * problem's lists. A node or block whose constraint is left out stays subject to all others.
 */
final class PlacementModel {
    /** Capacity of a node without a ROOM constraint: above the size of all blocks, and far below a long's maximum. */
    private static final long UNBOUNDED_MB = 1L << 50;
    /** Difference of shares up to which they are compared exactly; the error of doubles is far smaller. */
    private static final double MAX_INEXACT_DIFFERENCE = 1e-9;
    /** Number of millionths of a millionth in a whole: the unit for the product of two shares. */
    private static final long MILLION_SQUARED = (long) PlacementProblem.MILLION * PlacementProblem.MILLION;

    /** The move of one replica of a block from one node to another. */
    record ReplicaMove(int block, int from, int to) {}

    final PlacementProblem problem;
    final long[] diskMb;
    /** Megabytes that each node may hold. */
    final long[] capacityMb;
    final boolean[] draining;
    /** Whether each node counts for the level: it does not drain in the problem, even if this model omits the drain. */
    final boolean[] levelled;
    /** Group of each node: its cell, or itself. Nodes of one group may not hold two replicas of a block. */
    final int[] group;
    final int groups;
    final long[] sizeMb;
    final int[][] initialHolders;
    final boolean[] spread;
    /** Allowed difference of used shares in millionths of usable disk, or {@link PlacementProblem#NO_LEVEL}. */
    final int level;
    /**
     * Whether a level is enforced and each node that counts for it has a capacity. Their shares then end between 0 and
     * 1, so that a window of shares bounds them.
     */
    final boolean windowed;

    /** Creates a model under all constraints of the problem. */
    PlacementModel(PlacementProblem problem) {
        this(problem, allConstraints(problem));
    }

    /** Creates a model under some constraints of the problem. */
    PlacementModel(PlacementProblem problem, Collection<PlacementConstraint> enforced) {
        this.problem = problem;
        int nodes = problem.nodes().size();
        diskMb = new long[nodes];
        capacityMb = new long[nodes];
        draining = new boolean[nodes];
        levelled = new boolean[nodes];
        group = new int[nodes];
        int blocks = problem.blocks().size();
        sizeMb = new long[blocks];
        initialHolders = new int[blocks][];
        spread = new boolean[blocks];
        Map<String, Integer> nodeIndex = new HashMap<>();
        groups = readNodes(nodeIndex);
        Map<String, Integer> blockIndex = new HashMap<>();
        readBlocks(nodeIndex, blockIndex);
        level = enforce(enforced, nodeIndex, blockIndex);
        windowed = level != PlacementProblem.NO_LEVEL && areLevelledNodesBounded();
    }

    /** Reads the nodes, and returns the number of groups. */
    private int readNodes(Map<String, Integer> nodeIndex) {
        Map<String, Integer> groupByCell = new HashMap<>();
        for (int i = 0; i < diskMb.length; i++) {
            StorageNode node = problem.nodes().get(i);
            nodeIndex.put(node.id(), i);
            diskMb[i] = node.diskMb();
            capacityMb[i] = UNBOUNDED_MB;
            levelled[i] = !node.draining();
            groupByCell.putIfAbsent(node.cell(), groupByCell.size());
            group[i] = problem.spread() == FailureDomain.NODE ? i : groupByCell.get(node.cell());
        }
        return problem.spread() == FailureDomain.NODE ? diskMb.length : groupByCell.size();
    }

    private void readBlocks(Map<String, Integer> nodeIndex, Map<String, Integer> blockIndex) {
        for (int b = 0; b < sizeMb.length; b++) {
            BlockReplicas block = problem.blocks().get(b);
            blockIndex.put(block.id(), b);
            sizeMb[b] = block.sizeMb();
            initialHolders[b] = block.holders().stream().mapToInt(nodeIndex::get).sorted().toArray();
        }
    }

    /** Applies the constraints, and returns the level. */
    private int enforce(Collection<PlacementConstraint> enforced, Map<String, Integer> nodeIndex,
            Map<String, Integer> blockIndex) {
        int enforcedLevel = PlacementProblem.NO_LEVEL;
        for (PlacementConstraint constraint : enforced) {
            switch (constraint.rule()) {
                case ROOM -> {
                    int node = nodeIndex.get(constraint.nodes().get(0));
                    capacityMb[node] = problem.usableMb(problem.nodes().get(node));
                }
                case DRAIN -> draining[nodeIndex.get(constraint.nodes().get(0))] = true;
                case SPREAD -> spread[blockIndex.get(constraint.blocks().get(0))] = true;
                default -> enforcedLevel = problem.level();
            }
        }
        return enforcedLevel;
    }

    private boolean areLevelledNodesBounded() {
        for (int i = 0; i < capacityMb.length; i++) {
            if (levelled[i] && capacityMb[i] == UNBOUNDED_MB) {
                return false;
            }
        }
        return true;
    }

    /** Returns all constraints of a problem, one for each node or block that a rule applies to. */
    static List<PlacementConstraint> allConstraints(PlacementProblem problem) {
        List<PlacementConstraint> all = new ArrayList<>();
        if (problem.level() != PlacementProblem.NO_LEVEL) {
            all.add(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of()));
        }
        problem.nodes().stream().filter(StorageNode::draining)
                .forEach(n -> all.add(new PlacementConstraint(PlacementRule.DRAIN, List.of(n.id()), List.of())));
        problem.nodes().forEach(n -> all.add(new PlacementConstraint(PlacementRule.ROOM, List.of(n.id()), List.of())));
        problem.blocks().stream().filter(b -> b.holders().size() > 1)
                .forEach(b -> all.add(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(b.id()))));
        return all;
    }

    int nodeCount() {
        return diskMb.length;
    }

    int replicaCount() {
        int all = 0;
        for (int[] holders : initialHolders) {
            all += holders.length;
        }
        return all;
    }

    /**
     * Returns whether a block's spread constraint allows one of its replicas to move from {@code from} to {@code to}
     * while the others stay on their holders.
     */
    boolean satisfiesSpread(int block, int[] holders, int from, int to) {
        if (!spread[block]) {
            return true;
        }
        for (int holder : holders) {
            if (holder != from && group[holder] == group[to]) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the used shares of the nodes that count for the level differ by no more than the level. */
    boolean isLevel(long[] usedMb) {
        if (level == PlacementProblem.NO_LEVEL) {
            return true;
        }
        int fullest = -1;
        int emptiest = -1;
        for (int i = 0; i < diskMb.length; i++) {
            if (levelled[i]) {
                fullest = fullest < 0 || isFullerBy(usedMb, i, fullest, 0) ? i : fullest;
                emptiest = emptiest < 0 || isFullerBy(usedMb, emptiest, i, 0) ? i : emptiest;
            }
        }
        return fullest < 0 || !isFullerBy(usedMb, fullest, emptiest, level);
    }

    /** Returns whether the first node is fuller than the second by more than {@code by} millionths of usable disk. */
    private boolean isFullerBy(long[] usedMb, int node, int other, int by) {
        // shares of usable disk are compared as shares of the whole disk, so the headroom scales the difference
        long scaledBy = (long) by * (PlacementProblem.MILLION - problem.headroom());
        double difference = (double) usedMb[node] / diskMb[node] - (double) usedMb[other] / diskMb[other]
                - scaledBy / (double) MILLION_SQUARED;
        if (Math.abs(difference) > MAX_INEXACT_DIFFERENCE) {
            return difference > 0;
        }
        return big(usedMb[node]).multiply(big(diskMb[other])).subtract(big(usedMb[other]).multiply(big(diskMb[node])))
                .multiply(big(MILLION_SQUARED))
                .compareTo(big(diskMb[node]).multiply(big(diskMb[other])).multiply(big(scaledBy))) > 0;
    }

    private static BigInteger big(long value) {
        return BigInteger.valueOf(value);
    }

    /**
     * Returns the level in millionths of the whole disk, rounded up. The level is a share of usable disk, that is, of
     * the disk less its headroom.
     */
    int windowWidth() {
        return (int) (((long) level * (PlacementProblem.MILLION - problem.headroom()) + PlacementProblem.MILLION - 1)
                / PlacementProblem.MILLION);
    }

    /** Returns the megabytes that each node holds in the initial placement. */
    long[] initialUsedMb() {
        var usedMb = new long[diskMb.length];
        for (int b = 0; b < sizeMb.length; b++) {
            for (int holder : initialHolders[b]) {
                usedMb[holder] += sizeMb[b];
            }
        }
        return usedMb;
    }
}
