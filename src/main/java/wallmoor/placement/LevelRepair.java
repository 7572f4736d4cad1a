package wallmoor.placement;

import java.util.BitSet;
import java.util.Comparator;
import java.util.stream.IntStream;
import wallmoor.placement.PlacementModel.ReplicaMove;
import wallmoor.placement.PlacementState.Replica;

/**
 * Brings nodes into their window of used megabytes; the second phase of the greedy construction. It first fills the
 * nodes below their window, then repairs the rest by steepest descent: each step makes the move that most reduces the
 * nodes' distances from their windows per megabyte copied.
 */
final class LevelRepair {
    /** Number of repair moves; each examines all replicas, and a plan that needs more suits another window better. */
    private static final int MAX_REPAIRS = 60;
    private static final int NO_NODE = -1;

    private final PlacementModel model;
    private final PlacementState state;
    private final long[] lowMb;
    private final long[] highMb;
    private final int[] blocksBySize;

    LevelRepair(PlacementModel model, PlacementState state, long[] lowMb, long[] highMb) {
        this.model = model;
        this.state = state;
        this.lowMb = lowMb;
        this.highMb = highMb;
        blocksBySize = IntStream.range(0, model.sizeMb.length).boxed()
                .sorted(Comparator.comparingLong(block -> -model.sizeMb[block])).mapToInt(block -> block).toArray();
    }

    /** Moves replicas while that helps, and returns whether the placement then satisfies all constraints. */
    boolean run() {
        fillBelowWindow();
        repair();
        return isSatisfied();
    }

    /** Fills the nodes below their window, at each step the one that is furthest below. */
    private void fillBelowWindow() {
        var unfillable = new BitSet();
        int target = mostLacking(unfillable);
        while (target != NO_NODE) {
            Replica filler = filler(target);
            if (filler == null) {
                unfillable.set(target);
            } else {
                state.move(filler.block(), filler.node(), target);
            }
            target = mostLacking(unfillable);
        }
    }

    private int mostLacking(BitSet unfillable) {
        int most = NO_NODE;
        for (int node = 0; node < state.nodeCount(); node++) {
            if (!unfillable.get(node) && lackMb(node) > 0 && (most == NO_NODE || lackMb(node) > lackMb(most))) {
                most = node;
            }
        }
        return most;
    }

    private long lackMb(int node) {
        return lowMb[node] - state.usedMb(node);
    }

    /**
     * Returns the replica to fill a node with, on its fullest holder that stays within its window without it: the
     * largest replica that does not exceed the missing megabytes, else the smallest of the larger ones, else null.
     */
    private Replica filler(int target) {
        int larger = 0;
        while (larger < blocksBySize.length && model.sizeMb[blocksBySize[larger]] > lackMb(target)) {
            larger++;
        }
        for (int i = larger; i < blocksBySize.length; i++) {
            int donor = fullestDonor(blocksBySize[i], target);
            if (donor != NO_NODE) {
                return new Replica(blocksBySize[i], donor);
            }
        }
        for (int i = larger - 1; i >= 0; i--) {
            int donor = fullestDonor(blocksBySize[i], target);
            if (donor != NO_NODE) {
                return new Replica(blocksBySize[i], donor);
            }
        }
        return null;
    }

    /** Returns the holder with the largest used share that stays within its window without the block. */
    private int fullestDonor(int block, int target) {
        int fullest = NO_NODE;
        for (int donor : state.holders(block)) {
            if (state.usedMb(donor) - model.sizeMb[block] >= lowMb[donor] && state.fits(block, donor, target, highMb)
                    && (fullest == NO_NODE || isFuller(donor, fullest))) {
                fullest = donor;
            }
        }
        return fullest;
    }

    private boolean isFuller(int node, int other) {
        return state.usedMb(node) * (double) model.diskMb[other] > state.usedMb(other) * (double) model.diskMb[node];
    }

    private void repair() {
        for (int i = 0; i < MAX_REPAIRS && !isSatisfied(); i++) {
            ReplicaMove best = bestRepair();
            if (best == null) {
                return;
            }
            state.move(best.block(), best.from(), best.to());
        }
    }

    /** Returns the legal move with the largest gain, the first of equals, or null if no move has a gain. */
    private ReplicaMove bestRepair() {
        int[] allNodes = IntStream.range(0, state.nodeCount()).toArray();
        int[] lacking = IntStream.of(allNodes).filter(node -> lackMb(node) > 0).toArray();
        ReplicaMove best = null;
        double bestGain = 0;
        for (int from : allNodes) {
            int[] targets = state.usedMb(from) > highMb[from] ? allNodes : lacking;
            BitSet blocks = state.blocksOf(from);
            for (int block = blocks.nextSetBit(0); block >= 0; block = blocks.nextSetBit(block + 1)) {
                for (int to : targets) {
                    double gain = gain(block, from, to);
                    if (gain > bestGain && state.fits(block, from, to, model.capacityMb)) {
                        bestGain = gain;
                        best = new ReplicaMove(block, from, to);
                    }
                }
            }
        }
        return best;
    }

    /** Returns by how much a move reduces both nodes' distances from their windows, per megabyte that it copies. */
    private double gain(int block, int from, int to) {
        long sizeMb = model.sizeMb[block];
        long before = distanceMb(from, 0) + distanceMb(to, 0);
        return (before - distanceMb(from, -sizeMb) - distanceMb(to, sizeMb)) / (double) sizeMb;
    }

    /** Returns how many megabytes a node would be outside its window with {@code addedMb} more. */
    private long distanceMb(int node, long addedMb) {
        long usedMb = state.usedMb(node) + addedMb;
        return Math.max(0, usedMb - highMb[node]) + Math.max(0, lowMb[node] - usedMb);
    }

    private boolean isSatisfied() {
        return state.isWithinCapacity() && model.isLevel(state.usedMb())
                && EvictionChoice.colocated(model, state.blocksByNode(), state.usedMb(), highMb).isEmpty();
    }
}
