package wallmoor.placement;

import java.util.BitSet;
import java.util.Comparator;
import java.util.stream.IntStream;
import wallmoor.placement.PlacementModel.ReplicaMove;
import wallmoor.placement.PlacementState.Replica;

/**
 * The second part of the greedy construction: brings nodes into their window of used megabytes. It first fills those
 * below it, then repairs what is left by steepest descent: the move that lessens the nodes' distances from their
 * windows the most for its bytes.
 */
final class LevelRepair {
    /** Repairs at most, each a look at all replicas: a plan that needs more is better begun with another window. */
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

    /** Moves replicas as long as it helps; whether the placement satisfies all constraints then. */
    boolean run() {
        fill();
        repair();
        return satisfied();
    }

    /** Fills the nodes below their window, at each step the one that lacks the most. */
    private void fill() {
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
        for (int node = 0; node < state.nodes(); node++) {
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
     * The replica that a node is best filled with, on the fullest of those that can spare it: the largest that is not
     * more than what is lacking, then the smallest of the larger ones; null where there is none.
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

    /** The holder of the largest share that stays within its window without a block. */
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
        for (int i = 0; i < MAX_REPAIRS && !satisfied(); i++) {
            ReplicaMove best = bestRepair();
            if (best == null) {
                return;
            }
            state.move(best.block(), best.from(), best.to());
        }
    }

    /** The legal move that gains the most for its bytes, the first of equals; null where none gains. */
    private ReplicaMove bestRepair() {
        int[] all = IntStream.range(0, state.nodes()).toArray();
        int[] lacking = IntStream.of(all).filter(node -> lackMb(node) > 0).toArray();
        ReplicaMove best = null;
        double bestGain = 0;
        for (int from : all) {
            int[] targets = state.usedMb(from) > highMb[from] ? all : lacking;
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

    /** By how much a move lessens both nodes' distances from their windows, for each megabyte that it copies. */
    private double gain(int block, int from, int to) {
        long sizeMb = model.sizeMb[block];
        long before = distanceMb(from, 0) + distanceMb(to, 0);
        return (before - distanceMb(from, -sizeMb) - distanceMb(to, sizeMb)) / (double) sizeMb;
    }

    /** How far a node would be outside of its window with {@code addedMb} more. */
    private long distanceMb(int node, long addedMb) {
        long usedMb = state.usedMb(node) + addedMb;
        return Math.max(0, usedMb - highMb[node]) + Math.max(0, lowMb[node] - usedMb);
    }

    private boolean satisfied() {
        return state.withinCapacity() && model.level(state.usedMb())
                && EvictionChoice.colocated(model, state.blocksByNode(), state.usedMb(), highMb).isEmpty();
    }
}
