package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import wallmoor.placement.PlacementModel.ReplicaMove;
import wallmoor.placement.PlacementState.Replica;

/**
 * Greedy construction with repair: an upper bound on the bytes of the best plan, found fast. Each move is legal where
 * it stands. Replicas that must leave their nodes are placed first, in descending size (as in best-fit decreasing bin
 * packing); one that fits nowhere has others displaced by a depth-limited search with backtracking; last,
 * {@link LevelRepair} brings the nodes into their window. It may fail where a plan exists.
 */
final class GreedyPlanner {
    /** Moves that may be made for the sake of one: each further one multiplies the search by {@link #MAX_BREADTH}. */
    private static final int MAX_DEPTH = 3;
    /** Displacements tried at each depth but the last. */
    private static final int MAX_BREADTH = 12;
    /** A node's lack below its window counts as much as this many of its shares. */
    private static final double LACK_WEIGHT = 2;
    private static final int NO_NODE = -1;

    private final PlacementModel model;
    private final boolean bestFit;
    private final long[] lowMb;
    private final long[] highMb;
    private final PlacementState state;

    /**
     * @param window  where the level's window of shares begins, in millionths of a disk
     * @param bestFit a replica goes to the node that it leaves the least room on, not to the emptiest, so that large
     *                holes last
     */
    GreedyPlanner(PlacementModel model, int window, boolean bestFit) {
        this.model = model;
        this.bestFit = bestFit;
        int nodes = model.nodes();
        lowMb = new long[nodes];
        highMb = new long[nodes];
        for (int node = 0; node < nodes; node++) {
            lowMb[node] = model.draining[node]
                    ? 0
                    : Math.min(model.capacityMb[node], CopyLowerBound.low(model, node, window));
            highMb[node] = CopyLowerBound.high(model, node, window);
        }
        state = new PlacementState(model);
    }

    /** Megabytes that the plan copies. */
    long cost() {
        return state.copiedMb();
    }

    /** The plan, each move legal after those before it. */
    List<ReplicaMove> moves() {
        return state.moves();
    }

    /** Constructs the plan; whether its end satisfies all constraints. */
    boolean build() {
        List<Replica> evicted = evicted();
        evicted.sort(Comparator.comparingLong((Replica replica) -> -model.sizeMb[replica.block()])
                .thenComparingInt(Replica::block).thenComparingInt(Replica::node));
        return placeAll(evicted) && new LevelRepair(model, state, lowMb, highMb).run();
    }

    /** Replicas that must leave: of draining nodes, of groups with two of one block, of nodes above their window. */
    private List<Replica> evicted() {
        List<Replica> evicted = new ArrayList<>();
        for (int node = 0; node < state.nodes(); node++) {
            if (model.draining[node]) {
                addAll(evicted, state.blocksOf(node).stream().boxed().toList(), node);
            }
        }
        EvictionChoice.colocated(model, state.blocksByNode(), state.usedMb(), highMb)
                .forEach((block, nodes) -> nodes.forEach(node -> evicted.add(new Replica(block, node))));
        evictExcess(evicted);
        return evicted;
    }

    /** Adds what nodes that don't drain are above their window with, after all that leaves already. */
    private void evictExcess(List<Replica> evicted) {
        BitSet[] remaining = new BitSet[state.nodes()];
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

    /** Places all; what fits nowhere waits for the room that the others leave, then displaces some, ever deeper. */
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

    /** Moves a replica to its best target, within the target's window if it can be; it may take {@code depth} more. */
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

    /** Has another block leave a node that this one may then go to, the smallest first; undone if it is of no use. */
    private boolean displace(Replica replica, int depth) {
        List<Replica> candidates = displaceable(replica);
        int tried = depth == 0 ? candidates.size() : Math.min(candidates.size(), MAX_BREADTH);
        for (Replica displaced : candidates.subList(0, tried)) {
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

    /** Replicas of other blocks, each of which alone would leave room enough for this one; in ascending size. */
    private List<Replica> displaceable(Replica replica) {
        List<Replica> candidates = new ArrayList<>();
        int block = replica.block();
        for (int target = 0; target < state.nodes(); target++) {
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

    /** The node of the best score that a replica fits on, the first of equals; {@link #NO_NODE} if it fits on none. */
    private int bestTarget(Replica replica, long[] limitMb) {
        int best = NO_NODE;
        double bestScore = 0;
        for (int target = 0; target < state.nodes(); target++) {
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

    /** How well a block is placed on a node: by the part of it that the node lacks, then by how full the node gets. */
    private double score(int block, int target) {
        long sizeMb = model.sizeMb[block];
        long lackMb = Math.max(0, lowMb[target] - state.usedMb(target));
        double lackingPart = Math.min(sizeMb, lackMb) / (double) sizeMb;
        double shareAfter = (double) (state.usedMb(target) + sizeMb) / model.diskMb[target];
        return LACK_WEIGHT * lackingPart + (bestFit ? shareAfter : -shareAfter);
    }
}
