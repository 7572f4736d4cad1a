package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * The placement that a greedy construction has reached: which node holds which block, how many megabytes each node
 * holds, and the moves that led there from the initial placement. Moves are undone in reverse order, for backtracking.
 */
final class PlacementState {
    /** One replica of a block on the node that holds it. */
    record Replica(int block, int node) {}

    private final PlacementModel model;
    private final int[][] holders;
    private final BitSet[] blocksOf;
    private final long[] usedMb;
    private final List<ReplicaMove> moves = new ArrayList<>();
    private long copiedMb;

    /** The initial placement of a model. */
    PlacementState(PlacementModel model) {
        this.model = model;
        holders = model.initialHolders.clone();
        usedMb = model.initialUsedMb();
        blocksOf = new BitSet[model.nodes()];
        for (int node = 0; node < blocksOf.length; node++) {
            blocksOf[node] = new BitSet();
        }
        for (int block = 0; block < holders.length; block++) {
            for (int holder : holders[block]) {
                blocksOf[holder].set(block);
            }
        }
    }

    int nodes() {
        return usedMb.length;
    }

    long usedMb(int node) {
        return usedMb[node];
    }

    /** What each node holds, in megabytes; the live array, not to be written to. */
    long[] usedMb() {
        return usedMb;
    }

    /** The nodes that hold a block; not to be written to. */
    int[] holders(int block) {
        return holders[block];
    }

    /** The blocks that a node holds; live, not to be written to. */
    BitSet blocksOf(int node) {
        return blocksOf[node];
    }

    /** The blocks of each node; live, not to be written to. */
    BitSet[] blocksByNode() {
        return blocksOf;
    }

    boolean holds(int node, int block) {
        return blocksOf[node].get(block);
    }

    /** All moves so far, in their order. */
    List<ReplicaMove> moves() {
        return Collections.unmodifiableList(moves);
    }

    /** The moves' sizes in all, in megabytes. */
    long copiedMb() {
        return copiedMb;
    }

    /** Whether a replica may move now, with no more than {@code limitMb} of its target and the target's capacity. */
    boolean fits(int block, int from, int to, long[] limitMb) {
        return to != from && mayHold(block, from, to)
                && usedMb[to] + model.sizeMb[block] <= Math.min(limitMb[to], model.capacityMb[to]);
    }

    /** Whether all rules but the room let a replica move from one node to another. */
    boolean mayHold(int block, int from, int to) {
        return !model.draining[to] && !holds(to, block) && model.maySpread(block, holders[block], from, to);
    }

    /** Whether every node is within its capacity, and the draining ones are empty. */
    boolean withinCapacity() {
        for (int node = 0; node < usedMb.length; node++) {
            if (usedMb[node] > (model.draining[node] ? 0 : model.capacityMb[node])) {
                return false;
            }
        }
        return true;
    }

    void move(int block, int from, int to) {
        var move = new ReplicaMove(block, from, to);
        apply(move);
        moves.add(move);
        copiedMb += model.sizeMb[block];
    }

    /** Undoes the latest moves until {@code count} are left. */
    void rollBackTo(int count) {
        while (moves.size() > count) {
            ReplicaMove latest = moves.remove(moves.size() - 1);
            apply(new ReplicaMove(latest.block(), latest.to(), latest.from()));
            copiedMb -= model.sizeMb[latest.block()];
        }
    }

    private void apply(ReplicaMove move) {
        int block = move.block();
        holders[block] = WaveScheduler.holdersAfter(holders[block], move);
        blocksOf[move.from()].clear(block);
        blocksOf[move.to()].set(block);
        usedMb[move.from()] -= model.sizeMb[block];
        usedMb[move.to()] += model.sizeMb[block];
    }
}
