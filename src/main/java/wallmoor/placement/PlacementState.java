package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * The placement that a greedy construction has reached: the blocks and used megabytes of each node, and the moves that
 * led there from the initial placement. For backtracking, moves are undone in reverse order.
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

    /** Creates the initial placement of a model. */
    PlacementState(PlacementModel model) {
        this.model = model;
        holders = model.initialHolders.clone();
        usedMb = model.initialUsedMb();
        blocksOf = new BitSet[model.nodeCount()];
        for (int node = 0; node < blocksOf.length; node++) {
            blocksOf[node] = new BitSet();
        }
        for (int block = 0; block < holders.length; block++) {
            for (int holder : holders[block]) {
                blocksOf[holder].set(block);
            }
        }
    }

    int nodeCount() {
        return usedMb.length;
    }

    long usedMb(int node) {
        return usedMb[node];
    }

    /** Returns the live array of the megabytes that each node holds; callers must not write to it. */
    long[] usedMb() {
        return usedMb;
    }

    /** Returns the live array of the nodes that hold a block; callers must not write to it. */
    int[] holders(int block) {
        return holders[block];
    }

    /** Returns the live set of the blocks that a node holds; callers must not write to it. */
    BitSet blocksOf(int node) {
        return blocksOf[node];
    }

    /** Returns the live sets of the blocks of each node; callers must not write to them. */
    BitSet[] blocksByNode() {
        return blocksOf;
    }

    boolean holds(int node, int block) {
        return blocksOf[node].get(block);
    }

    /** Returns a view of all moves so far, in order. */
    List<ReplicaMove> moves() {
        return Collections.unmodifiableList(moves);
    }

    /** Returns the megabytes that all moves so far copy. */
    long copiedMb() {
        return copiedMb;
    }

    /** Returns whether a replica may move now without exceeding the target's {@code limitMb} or its capacity. */
    boolean fits(int block, int from, int to, long[] limitMb) {
        return to != from && mayHold(block, from, to)
                && usedMb[to] + model.sizeMb[block] <= Math.min(limitMb[to], model.capacityMb[to]);
    }

    /** Returns whether all rules but ROOM allow a replica to move from one node to another. */
    boolean mayHold(int block, int from, int to) {
        return !model.draining[to] && !holds(to, block) && model.satisfiesSpread(block, holders[block], from, to);
    }

    /** Returns whether every node is within its capacity and every draining node is empty. */
    boolean isWithinCapacity() {
        for (int node = 0; node < usedMb.length; node++) {
            if (usedMb[node] > (model.draining[node] ? 0 : model.capacityMb[node])) {
                return false;
            }
        }
        return true;
    }

    /** Moves a replica and records the move. */
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
