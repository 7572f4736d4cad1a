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
 * Plans of the least bytes, by A* search over placements. A vertex is the node of every replica, an edge is a legal
 * move, its length the move's megabytes; the heuristic is {@link #estimate}. So a block that must move twice to make
 * room is found and counted. Ends at the goal, when all reachable placements are seen, or when its budget is used up.
 */
final class AStarSearch {
    /**
     * Result of a search: a plan, or none where all was seen, or neither.
     *
     * @param moves          the plan; null where none was found
     * @param copiedMb       megabytes that the plan copies; 0 without one
     * @param complete       whether the search ended before its budget did
     * @param lowerBoundMb   no plan copies less, in megabytes
     * @param placementsSeen placements that were reached
     */
    record SearchResult(List<ReplicaMove> moves, long copiedMb, boolean complete, long lowerBoundMb,
            int placementsSeen) {}

    /**
     * A vertex that was reached.
     *
     * @param placement the holders of all blocks, a character each
     * @param costMb    megabytes copied on the way
     * @param totalMb   {@code costMb} and the estimate of what is left
     * @param previous  the vertex that it was reached from; null at the start
     * @param move      the move that led here; null at the start
     */
    private record SearchNode(String placement, long costMb, long totalMb, SearchNode previous, ReplicaMove move) {}

    private final PlacementModel model;
    private final int budget;
    /** Where each block's holders begin in a placement's text, and at the end the text's length. */
    private final int[] offset;
    /** The holders and used megabytes of the placement that is looked at. */
    private final int[][] holders;
    private final long[] usedMb;
    /** Scratch of {@link #forcedBySpreadMb}: a block's replicas in each group, and those of them on draining nodes. */
    private final int[] inGroup;
    private final int[] drainingInGroup;
    private final Map<String, Long> bestCostMb = new HashMap<>();
    private final PriorityQueue<SearchNode> open = new PriorityQueue<>(
            Comparator.comparingLong(SearchNode::totalMb).thenComparingLong(reached -> -reached.costMb()));

    /** @param budget placements that are kept at most */
    AStarSearch(PlacementModel model, int budget) {
        this.model = model;
        this.budget = budget;
        int blocks = model.sizeMb.length;
        offset = new int[blocks + 1];
        holders = new int[blocks][];
        for (int block = 0; block < blocks; block++) {
            offset[block + 1] = offset[block] + model.initialHolders[block].length;
        }
        usedMb = new long[model.nodes()];
        inGroup = new int[model.groups];
        drainingInGroup = new int[model.groups];
    }

    /** Whether nothing can move and a constraint is violated: then no plan exists. */
    static boolean stuck(PlacementModel model) {
        var search = new AStarSearch(model, 1);
        search.read(search.initialPlacement());
        return !search.isGoal() && !search.anyMove();
    }

    private boolean anyMove() {
        for (int block = 0; block < holders.length; block++) {
            for (int from : holders[block]) {
                for (int to = 0; to < model.nodes(); to++) {
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
                && model.maySpread(block, holders[block], from, to);
    }

    /** Searches for a plan of less than {@code belowMb} megabytes. */
    SearchResult search(long belowMb) {
        bestCostMb.clear();
        open.clear();
        String start = initialPlacement();
        read(start);
        offer(new SearchNode(start, 0, estimate(), null, null), belowMb);
        while (!open.isEmpty()) {
            SearchNode current = open.poll();
            if (current.costMb() > bestCostMb.get(current.placement())) {
                continue;
            }
            read(current.placement());
            if (isGoal()) {
                return new SearchResult(movesTo(current), current.costMb(), true, current.costMb(), bestCostMb.size());
            }
            if (bestCostMb.size() >= budget) {
                return new SearchResult(null, 0, false, current.totalMb(), bestCostMb.size());
            }
            expand(current, belowMb);
        }
        return new SearchResult(null, 0, true, belowMb, bestCostMb.size());
    }

    /** Opens a vertex, unless it can't lead to a plan below the limit or was reached at no more cost. */
    private void offer(SearchNode reached, long belowMb) {
        if (reached.totalMb() >= belowMb) {
            return;
        }
        Long known = bestCostMb.get(reached.placement());
        if (known == null || reached.costMb() < known) {
            bestCostMb.put(reached.placement(), reached.costMb());
            open.add(reached);
        }
    }

    /** Offers every vertex that is one legal move from the current one, which the fields hold. */
    private void expand(SearchNode current, long belowMb) {
        char[] text = current.placement().toCharArray();
        for (int block = 0; block < holders.length; block++) {
            int[] own = holders[block];
            for (int replica = 0; replica < own.length; replica++) {
                if (replica > 0 && own[replica - 1] == own[replica]) {
                    continue; // a second copy there, which only a block that need not be spread has
                }
                for (int to = 0; to < model.nodes(); to++) {
                    if (isLegal(block, own[replica], to)) {
                        offerMove(current, text, new ReplicaMove(block, own[replica], to), replica, belowMb);
                    }
                }
            }
        }
    }

    /** Offers the vertex after a move; the fields and {@code text} are the current vertex's again afterwards. */
    private void offerMove(SearchNode current, char[] text, ReplicaMove move, int replica, long belowMb) {
        int block = move.block();
        long sizeMb = model.sizeMb[block];
        int[] own = holders[block];
        int[] moved = own.clone();
        moved[replica] = move.to();
        Arrays.sort(moved); // replicas are alike: one text for each placement
        write(text, block, moved);
        holders[block] = moved;
        usedMb[move.from()] -= sizeMb;
        usedMb[move.to()] += sizeMb;
        long costMb = current.costMb() + sizeMb;
        offer(new SearchNode(new String(text), costMb, costMb + estimate(), current, move), belowMb);
        usedMb[move.from()] += sizeMb;
        usedMb[move.to()] -= sizeMb;
        holders[block] = own;
        write(text, block, own);
    }

    private String initialPlacement() {
        var text = new char[offset[holders.length]];
        for (int block = 0; block < holders.length; block++) {
            write(text, block, model.initialHolders[block]);
        }
        return new String(text);
    }

    private void write(char[] text, int block, int[] own) {
        for (int replica = 0; replica < own.length; replica++) {
            text[offset[block] + replica] = (char) own[replica];
        }
    }

    private void read(String placement) {
        Arrays.fill(usedMb, 0);
        for (int block = 0; block < holders.length; block++) {
            int[] own = new int[offset[block + 1] - offset[block]];
            for (int replica = 0; replica < own.length; replica++) {
                own[replica] = placement.charAt(offset[block] + replica);
                usedMb[own[replica]] += model.sizeMb[block];
            }
            holders[block] = own;
        }
    }

    private boolean isGoal() {
        for (int node = 0; node < usedMb.length; node++) {
            if (usedMb[node] > (model.draining[node] ? 0 : model.capacityMb[node])) {
                return false;
            }
        }
        return forcedBySpreadMb() == 0 && model.level(usedMb);
    }

    /**
     * The heuristic: megabytes that must move at least, so it is admissible. What drains, and of the rest what is over
     * capacity or colocated, whichever is more.
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

    /** Of a block's replicas in one group, on nodes that don't drain, all but one must leave: their megabytes. */
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
