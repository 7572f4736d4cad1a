package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import wallmoor.placement.PlacementModel.ReplicaMove;
import wallmoor.placement.PlacementState.Replica;

/**
 * Constructs a plan greedily and repairs it, which gives a fast upper bound on the bytes of the best plan. Each move is
 * legal after the moves before it. Replicas that must leave their nodes are placed first, in descending size (as in
 * best-fit decreasing bin packing). For one that fits nowhere, a depth-limited search with backtracking displaces other
 * replicas. Last, {@link LevelRepair} brings the nodes into their window. It may fail although a plan exists.
 */
final class GreedyPlanner {
    /** Displacing moves per placed replica; each further one multiplies the search by {@link #MAX_BREADTH}. */
    private static final int MAX_DEPTH = 3;
    /** Number of displacements tried at each depth but the last. */
    private static final int MAX_BREADTH = 12;
    /** Weight of filling a node that is below its window, relative to the node's share of used disk. */
    private static final double BELOW_WINDOW_WEIGHT = 2;
    private static final int NO_NODE = -1;

    private final PlacementModel model;
    private final boolean bestFit;
    private final long[] lowMb;
    private final long[] highMb;
    private final PlacementState state;

    /**
     * @param window  lower end of the level's window of used shares, in millionths of a disk
     * @param bestFit whether a replica goes to the fullest node that it fits on rather than to the emptiest, which
     *                preserves large gaps for large replicas
     */
    GreedyPlanner(PlacementModel model, int window, boolean bestFit) {
        this.model = model;
        this.bestFit = bestFit;
        int nodes = model.nodeCount();
        lowMb = new long[nodes];
        highMb = new long[nodes];
        for (int node = 0; node < nodes; node++) {
            lowMb[node] = model.draining[node]
                    ? 0
                    : Math.min(model.capacityMb[node], CopyLowerBound.lowMb(model, node, window));
            highMb[node] = CopyLowerBound.highMb(model, node, window);
        }
        state = new PlacementState(model);
    }

    /** Returns the megabytes that the plan copies. */
    long copiedMb() {
        return state.copiedMb();
    }

    /** Returns the moves of the plan, each legal after those before it. */
    List<ReplicaMove> moves() {
        return state.moves();
    }

    /** Constructs the plan, and returns whether its final placement satisfies all constraints. */
    boolean build() {
        List<Replica> evicted = selectEvicted();
        evicted.sort(Comparator.comparingLong((Replica replica) -> -model.sizeMb[replica.block()])
                .thenComparingInt(Replica::block).thenComparingInt(Replica::node));
        return placeAll(evicted) && new LevelRepair(model, state, lowMb, highMb).run();
    }

    /** Selects the replicas on draining nodes, colocated replicas, and replicas of nodes above their window. */
    private List<Replica> selectEvicted() {
        List<Replica> evicted = new ArrayList<>();
        for (int node = 0; node < state.nodeCount(); node++) {
            if (model.draining[node]) {
                addAll(evicted, state.blocksOf(node).stream().boxed().toList(), node);
            }
        }
        EvictionChoice.colocated(model, state.blocksByNode(), state.usedMb(), highMb)
                .forEach((block, nodes) -> nodes.forEach(node -> evicted.add(new Replica(block, node))));
        evictExcess(evicted);
        return evicted;
    }

    /** Adds replicas of non-draining nodes that are still above their window once the evicted replicas have left. */
    private void evictExcess(List<Replica> evicted) {
        BitSet[] remaining = new BitSet[state.nodeCount()];
        long[] remainingMb = state.usedMb().clone();
        for (int node = 0; node < remaining.length; node++) {
            remaining[node] = (BitSet) state.blocksOf(node).clone();
        }
        for (Replica replica : evicted) {
            remaining[replica.node()].clear(replica.block());
            remainingMb[replica.node()] -= model.sizeMb[replica.block()];
        }
        for (int node = 0; node < remaining.length; node++) {
            long excessMb = remainingMb[node] - highMb[node];
            if (!model.draining[node] && excessMb > 0) {
                addAll(evicted, EvictionChoice.smallestCover(model, remaining[node], excessMb), node);
            }
        }
    }

    private static void addAll(List<Replica> replicas, List<Integer> blocks, int node) {
        blocks.forEach(block -> replicas.add(new Replica(block, node)));
    }

    /**
     * Places all replicas. One that fits nowhere is retried after the others have freed space, and then with displacing
     * moves, whose depth rises whenever a pass places none.
     */
    private boolean placeAll(List<Replica> evicted) {
        List<Replica> waiting = evicted;
        int depth = 0;
        while (depth <= MAX_DEPTH && !waiting.isEmpty()) {
            List<Replica> stillWaiting = new ArrayList<>();
            for (Replica replica : waiting) {
                if (!place(replica, depth)) {
                    stillWaiting.add(replica);
                }
            }
            if (stillWaiting.size() == waiting.size()) {
                depth++;
            }
            waiting = stillWaiting;
        }
        return waiting.isEmpty();
    }

    /**
     * Moves a replica to its best target, preferably within the target's window. If it fits nowhere, up to
     * {@code depth} displacing moves are made for it.
     */
    private boolean place(Replica replica, int depth) {
        int target = bestTarget(replica, highMb);
        if (target == NO_NODE) {
            target = bestTarget(replica, model.capacityMb);
        }
        if (target != NO_NODE) {
            state.move(replica.block(), replica.node(), target);
            return true;
        }
        return depth > 0 && displace(replica, depth - 1);
    }

    /** Tries to displace another block to make room, smallest first; undoes a displacement that does not help. */
    private boolean displace(Replica replica, int depth) {
        List<Replica> candidates = displaceable(replica);
        int breadth = depth == 0 ? candidates.size() : Math.min(candidates.size(), MAX_BREADTH);
        for (Replica displaced : candidates.subList(0, breadth)) {
            int movesBefore = state.moves().size();
            if (place(displaced, depth)) {
                int target = displaced.node();
                if (state.holds(replica.node(), replica.block())
                        && state.fits(replica.block(), replica.node(), target, model.capacityMb)) {
                    state.move(replica.block(), replica.node(), target);
                    return true;
                }
                state.rollBackTo(movesBefore);
            }
        }
        return false;
    }

    /** Returns replicas of other blocks, each of which alone frees enough room for this one; in ascending size. */
    private List<Replica> displaceable(Replica replica) {
        List<Replica> candidates = new ArrayList<>();
        int block = replica.block();
        for (int target = 0; target < state.nodeCount(); target++) {
            if (target == replica.node() || !state.mayHold(block, replica.node(), target)) {
                continue;
            }
            long missingMb = state.usedMb(target) + model.sizeMb[block] - model.capacityMb[target];
            BitSet blocks = state.blocksOf(target);
            for (int other = blocks.nextSetBit(0); other >= 0; other = blocks.nextSetBit(other + 1)) {
                if (other != block && model.sizeMb[other] >= missingMb) {
                    candidates.add(new Replica(other, target));
                }
            }
        }
        ToLongFunction<Replica> size = candidate -> model.sizeMb[candidate.block()];
        candidates.sort(Comparator.comparingLong(size));
        return candidates;
    }

    /** Returns the best-scored node that a replica fits on, the first of equals, or {@link #NO_NODE}. */
    private int bestTarget(Replica replica, long[] limitMb) {
        int best = NO_NODE;
        double bestScore = 0;
        for (int target = 0; target < state.nodeCount(); target++) {
            if (state.fits(replica.block(), replica.node(), target, limitMb)) {
                double score = score(replica.block(), target);
                if (best == NO_NODE || score > bestScore) {
                    best = target;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Scores a block's placement by the part of it that the node lacks for its window, and by the node's fullness. */
    private double score(int block, int target) {
        long sizeMb = model.sizeMb[block];
        long lackMb = Math.max(0, lowMb[target] - state.usedMb(target));
        double lackingPart = Math.min(sizeMb, lackMb) / (double) sizeMb;
        double shareAfter = (double) (state.usedMb(target) + sizeMb) / model.diskMb[target];
        return BELOW_WINDOW_WEIGHT * lackingPart + (bestFit ? shareAfter : -shareAfter);
    }
}
