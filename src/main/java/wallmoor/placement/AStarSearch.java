package wallmoor.placement;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Finds plans that copy the fewest bytes, by A* search over placements. A vertex assigns a node to every replica, an
 * edge is a legal move, and its length is the megabytes that the move copies; the heuristic is {@link #estimate}. A
 * block that must move twice to make room is found and counted twice. The search ends at the goal, when all reachable
 * placements have been seen, or when its budget of placements is used up.
 */
final class AStarSearch {
    /**
     * Result of a search: a plan, a proof that there is none below the limit, or neither where the budget ran out.
     *
     * @param moves          the plan; null where none was found
     * @param copiedMb       megabytes that the plan copies; 0 without a plan
     * @param complete       whether the search ended before its budget was used up
     * @param lowerBoundMb   megabytes that every plan copies at least
     * @param placementsSeen number of placements that were reached
     */
    record SearchResult(List<ReplicaMove> moves, long copiedMb, boolean complete, long lowerBoundMb,
            int placementsSeen) {}

    /**
     * A vertex that was reached.
     *
     * @param placement the node indexes of all replicas, one character each, block by block
     * @param costMb    megabytes copied on the path from the start
     * @param totalMb   {@code costMb} plus the estimate of the megabytes still to copy
     * @param previous  the vertex that this one was reached from; null at the start
     * @param move      the move from {@code previous} to this vertex; null at the start
     */
    private record SearchNode(String placement, long costMb, long totalMb, SearchNode previous, ReplicaMove move) {}

    private final PlacementModel model;
    private final int maxPlacements;
    /** Index of each block's first holder in an encoded placement; the last element is the length of the encoding. */
    private final int[] offset;
    /** Holders of each block, and used megabytes of each node, in the placement that is being examined. */
    private final int[][] holders;
    private final long[] usedMb;
    /** Scratch arrays of {@link #forcedBySpreadMb}: one block's replicas per group, and those on draining nodes. */
    private final int[] inGroup;
    private final int[] drainingInGroup;
    private final Map<String, Long> bestCostMb = new HashMap<>();
    private final PriorityQueue<SearchNode> open = new PriorityQueue<>(
            Comparator.comparingLong(SearchNode::totalMb).thenComparingLong(reached -> -reached.costMb()));

    /** @param maxPlacements number of placements that the search may store */
    AStarSearch(PlacementModel model, int maxPlacements) {
        this.model = model;
        this.maxPlacements = maxPlacements;
        int blocks = model.sizeMb.length;
        offset = new int[blocks + 1];
        holders = new int[blocks][];
        for (int block = 0; block < blocks; block++) {
            offset[block + 1] = offset[block] + model.initialHolders[block].length;
        }
        usedMb = new long[model.nodeCount()];
        inGroup = new int[model.groups];
        drainingInGroup = new int[model.groups];
    }

    /** Returns whether no move is legal and a constraint is violated, which proves that no plan exists. */
    static boolean isStuck(PlacementModel model) {
        var search = new AStarSearch(model, 1);
        search.load(search.initialPlacement());
        return !search.isGoal() && !search.hasLegalMove();
    }

    private boolean hasLegalMove() {
        for (int block = 0; block < holders.length; block++) {
            for (int from : holders[block]) {
                for (int to = 0; to < model.nodeCount(); to++) {
                    if (isLegal(block, from, to)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private boolean isLegal(int block, int from, int to) {
        return to != from && !model.draining[to] && usedMb[to] + model.sizeMb[block] <= model.capacityMb[to]
                && model.satisfiesSpread(block, holders[block], from, to);
    }

    /** Searches for the cheapest plan that copies less than {@code belowMb} megabytes. */
    SearchResult search(long belowMb) {
        bestCostMb.clear();
        open.clear();
        String start = initialPlacement();
        load(start);
        offer(new SearchNode(start, 0, estimate(), null, null), belowMb);
        while (!open.isEmpty()) {
            SearchNode current = open.poll();
            if (current.costMb() > bestCostMb.get(current.placement())) {
                continue;
            }
            load(current.placement());
            if (isGoal()) {
                return new SearchResult(movesTo(current), current.costMb(), true, current.costMb(), bestCostMb.size());
            }
            if (bestCostMb.size() >= maxPlacements) {
                return new SearchResult(null, 0, false, current.totalMb(), bestCostMb.size());
            }
            expand(current, belowMb);
        }
        return new SearchResult(null, 0, true, belowMb, bestCostMb.size());
    }

    /** Adds a vertex to the open set, unless its total reaches the limit or it was already reached as cheaply. */
    private void offer(SearchNode reached, long belowMb) {
        if (reached.totalMb() >= belowMb) {
            return;
        }
        Long knownCostMb = bestCostMb.get(reached.placement());
        if (knownCostMb == null || reached.costMb() < knownCostMb) {
            bestCostMb.put(reached.placement(), reached.costMb());
            open.add(reached);
        }
    }

    /** Offers every vertex that is one legal move away from the current one, which must be loaded into the fields. */
    private void expand(SearchNode current, long belowMb) {
        char[] text = current.placement().toCharArray();
        for (int block = 0; block < holders.length; block++) {
            int[] blockHolders = holders[block];
            for (int replica = 0; replica < blockHolders.length; replica++) {
                if (replica > 0 && blockHolders[replica - 1] == blockHolders[replica]) {
                    continue; // a second replica on the same node, possible only for blocks without a spread constraint
                }
                for (int to = 0; to < model.nodeCount(); to++) {
                    if (isLegal(block, blockHolders[replica], to)) {
                        offerMove(current, text, new ReplicaMove(block, blockHolders[replica], to), replica, belowMb);
                    }
                }
            }
        }
    }

    /** Offers the vertex after a move, then restores the fields and {@code text} to the current vertex. */
    private void offerMove(SearchNode current, char[] text, ReplicaMove move, int replica, long belowMb) {
        int block = move.block();
        long sizeMb = model.sizeMb[block];
        int[] blockHolders = holders[block];
        int[] moved = blockHolders.clone();
        moved[replica] = move.to();
        Arrays.sort(moved); // replicas of a block are interchangeable: one encoding per placement
        encode(text, block, moved);
        holders[block] = moved;
        usedMb[move.from()] -= sizeMb;
        usedMb[move.to()] += sizeMb;
        long costMb = current.costMb() + sizeMb;
        offer(new SearchNode(new String(text), costMb, costMb + estimate(), current, move), belowMb);
        usedMb[move.from()] += sizeMb;
        usedMb[move.to()] -= sizeMb;
        holders[block] = blockHolders;
        encode(text, block, blockHolders);
    }

    private String initialPlacement() {
        var text = new char[offset[holders.length]];
        for (int block = 0; block < holders.length; block++) {
            encode(text, block, model.initialHolders[block]);
        }
        return new String(text);
    }

    private void encode(char[] text, int block, int[] blockHolders) {
        for (int replica = 0; replica < blockHolders.length; replica++) {
            text[offset[block] + replica] = (char) blockHolders[replica];
        }
    }

    /** Decodes a placement into {@link #holders} and {@link #usedMb}. */
    private void load(String placement) {
        Arrays.fill(usedMb, 0);
        for (int block = 0; block < holders.length; block++) {
            int[] blockHolders = new int[offset[block + 1] - offset[block]];
            for (int replica = 0; replica < blockHolders.length; replica++) {
                blockHolders[replica] = placement.charAt(offset[block] + replica);
                usedMb[blockHolders[replica]] += model.sizeMb[block];
            }
            holders[block] = blockHolders;
        }
    }

    private boolean isGoal() {
        for (int node = 0; node < usedMb.length; node++) {
            if (usedMb[node] > (model.draining[node] ? 0 : model.capacityMb[node])) {
                return false;
            }
        }
        return forcedBySpreadMb() == 0 && model.isLevel(usedMb);
    }

    /**
     * Returns the heuristic: a lower bound on the megabytes that must still move, hence admissible. It is what draining
     * nodes hold, plus the larger of what other nodes hold above their capacity and what the spread constraints force
     * to move.
     */
    private long estimate() {
        long drainingMb = 0;
        long excessMb = 0;
        for (int node = 0; node < usedMb.length; node++) {
            if (model.draining[node]) {
                drainingMb += usedMb[node];
            } else {
                excessMb += Math.max(0, usedMb[node] - model.capacityMb[node]);
            }
        }
        return drainingMb + Math.max(excessMb, forcedBySpreadMb());
    }

    /** Returns the megabytes that must move for each group to keep one replica of a block on its non-draining nodes. */
    private long forcedBySpreadMb() {
        long forcedMb = 0;
        for (int block = 0; block < holders.length; block++) {
            if (!model.spread[block] || holders[block].length < 2) {
                continue;
            }
            Arrays.fill(inGroup, 0);
            Arrays.fill(drainingInGroup, 0);
            for (int holder : holders[block]) {
                inGroup[model.group[holder]]++;
                drainingInGroup[model.group[holder]] += model.draining[holder] ? 1 : 0;
            }
            for (int group = 0; group < inGroup.length; group++) {
                forcedMb += Math.max(0, inGroup[group] - drainingInGroup[group] - 1) * model.sizeMb[block];
            }
        }
        return forcedMb;
    }

    private static List<ReplicaMove> movesTo(SearchNode goal) {
        Deque<ReplicaMove> moves = new ArrayDeque<>();
        for (SearchNode reached = goal; reached.previous() != null; reached = reached.previous()) {
            moves.addFirst(reached.move());
        }
        return List.copyOf(moves);
    }
}
