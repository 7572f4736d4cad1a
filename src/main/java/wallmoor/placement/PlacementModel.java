package wallmoor.placement;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet in numbers, under all of its rules or some of them. Without a rule, whatever kept it still keeps the others.
 */
final class PlacementModel {
    /** Room without the rule of room: more than all blocks there may be, and far from a long's end. */
    private static final long UNBOUNDED_MB = 1L << 50;
    /** Shares as doubles err by far less than this; within it the comparison is made in whole numbers. */
    private static final double NEAR = 1e-9;
    /** A millionth of a millionth: the unit of a share of a share. */
    private static final long SQUARED = (long) PlacementProblem.MILLION * PlacementProblem.MILLION;

    /** A copy's way: from one node to another. */
    record ReplicaMove(int block, int from, int to) {}

    final PlacementProblem fleet;
    final long[] diskMb;
    /** What a node may hold. */
    final long[] capacityMb;
    final boolean[] draining;
    /** Whether the node counts for the level: it does not drain in the fleet, whatever this model leaves out. */
    final boolean[] levelled;
    /** Nodes of one group may not hold two copies of a block: cells, or the nodes themselves. */
    final int[] group;
    final int groups;
    final long[] sizeMb;
    final int[][] initialHolders;
    final boolean[] spread;
    final int level;
    /** Whether the nodes that count for the level end with shares of 0 to 1, so that a window of shares bounds them. */
    final boolean windowed;

    /** A model under all constraints of the problem. */
    PlacementModel(PlacementProblem problem) {
        this(problem, rules(problem));
    }

    /** A model under some of the constraints. */
    PlacementModel(PlacementProblem problem, Collection<PlacementConstraint> enforced) {
        this.fleet = problem;
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
        windowed = level != PlacementProblem.NO_LEVEL && allLevelledBounded();
    }

    /** Reads the nodes, and returns the number of groups. */
    private int readNodes(Map<String, Integer> nodeIndex) {
        Map<String, Integer> groupByCell = new HashMap<>();
        for (int i = 0; i < diskMb.length; i++) {
            StorageNode node = fleet.nodes().get(i);
            nodeIndex.put(node.id(), i);
            diskMb[i] = node.diskMb();
            capacityMb[i] = UNBOUNDED_MB;
            levelled[i] = !node.draining();
            groupByCell.putIfAbsent(node.cell(), groupByCell.size());
            group[i] = fleet.spread() == FailureDomain.NODE ? i : groupByCell.get(node.cell());
        }
        return fleet.spread() == FailureDomain.NODE ? diskMb.length : groupByCell.size();
    }

    private void readBlocks(Map<String, Integer> nodeIndex, Map<String, Integer> blockIndex) {
        for (int b = 0; b < sizeMb.length; b++) {
            BlockReplicas block = fleet.blocks().get(b);
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
                    capacityMb[node] = fleet.usable(fleet.nodes().get(node));
                }
                case DRAIN -> draining[nodeIndex.get(constraint.nodes().get(0))] = true;
                case SPREAD -> spread[blockIndex.get(constraint.blocks().get(0))] = true;
                default -> enforcedLevel = fleet.level();
            }
        }
        return enforcedLevel;
    }

    private boolean allLevelledBounded() {
        for (int i = 0; i < capacityMb.length; i++) {
            if (levelled[i] && capacityMb[i] == UNBOUNDED_MB) {
                return false;
            }
        }
        return true;
    }

    /** Every rule of a fleet, each for its node or block. */
    static List<PlacementConstraint> rules(PlacementProblem fleet) {
        List<PlacementConstraint> all = new ArrayList<>();
        if (fleet.level() != PlacementProblem.NO_LEVEL) {
            all.add(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of()));
        }
        fleet.nodes().stream().filter(StorageNode::draining)
                .forEach(n -> all.add(new PlacementConstraint(PlacementRule.DRAIN, List.of(n.id()), List.of())));
        fleet.nodes().forEach(n -> all.add(new PlacementConstraint(PlacementRule.ROOM, List.of(n.id()), List.of())));
        fleet.blocks().stream().filter(b -> b.holders().size() > 1)
                .forEach(b -> all.add(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(b.id()))));
        return all;
    }

    int nodes() {
        return diskMb.length;
    }

    int copies() {
        int all = 0;
        for (int[] holders : initialHolders) {
            all += holders.length;
        }
        return all;
    }

    /**
     * Whether one copy may stand on {@code to} beside the others of its block, which stand on {@code holders} less
     * {@code from}.
     */
    boolean maySpread(int block, int[] holders, int from, int to) {
        if (!spread[block]) {
            return true;
        }
        for (int h : holders) {
            if (h != from && group[h] == group[to]) {
                return false;
            }
        }
        return true;
    }

    /** Whether the shares of the nodes that count are as near as asked. */
    boolean level(long[] used) {
        if (level == PlacementProblem.NO_LEVEL) {
            return true;
        }
        int fullest = -1;
        int emptiest = -1;
        for (int i = 0; i < diskMb.length; i++) {
            if (levelled[i]) {
                fullest = fullest < 0 || above(used, i, fullest, 0) ? i : fullest;
                emptiest = emptiest < 0 || above(used, emptiest, i, 0) ? i : emptiest;
            }
        }
        return fullest < 0 || !above(used, fullest, emptiest, level);
    }

    /** Whether node {@code a} is fuller than {@code b} by more than {@code by} millionths of usable disk. */
    private boolean above(long[] used, int a, int b, int by) {
        // the headroom is a share too: it comes out of the one side and is put to the other
        long byDisk = (long) by * (PlacementProblem.MILLION - fleet.headroom());
        double difference = (double) used[a] / diskMb[a] - (double) used[b] / diskMb[b] - byDisk / (double) SQUARED;
        if (Math.abs(difference) > NEAR) {
            return difference > 0;
        }
        return big(used[a]).multiply(big(diskMb[b])).subtract(big(used[b]).multiply(big(diskMb[a])))
                .multiply(big(SQUARED))
                .compareTo(big(diskMb[a]).multiply(big(diskMb[b])).multiply(big(byDisk))) > 0;
    }

    private static BigInteger big(long value) {
        return BigInteger.valueOf(value);
    }

    /**
     * The level in millionths of the whole disk: by its headroom less than of usable disk; not a whole number, rounded
     * up.
     */
    int window() {
        return (int) (((long) level * (PlacementProblem.MILLION - fleet.headroom()) + PlacementProblem.MILLION - 1)
                / PlacementProblem.MILLION);
    }

    /** What all nodes hold at first. */
    long[] initialUsedMb() {
        var used = new long[diskMb.length];
        for (int b = 0; b < sizeMb.length; b++) {
            for (int h : initialHolders[b]) {
                used[h] += sizeMb[b];
            }
        }
        return used;
    }
}
