package wallmoor.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * The least bytes, by A* over placements: a placement is the node of every copy, an edge is a legal move, its length
 * the move's bytes. So what must be moved twice to make room is found and counted. Ends at the goal, at the end of all
 * that can be reached, or when its budget is used up.
 */
final class AStarSearch {
    /** What a search came to: a way, or none where all was seen, or neither. */
    record SearchResult(List<ReplicaMove> moves, long copiedMb, boolean complete, long lowerBoundMb,
            int placementsSeen) {}

    /** A placement that was reached. */
    private record SearchNode(String at, long cost, long estimate, SearchNode before, ReplicaMove step) {}

    private final PlacementModel model;
    private final int budget;
    private final int[] first;
    private final int[][] holders;
    private final long[] used;
    private final int[] inGroup;
    private final int[] drainingInGroup;

    /** {@code budget}: placements kept at most. */
    AStarSearch(PlacementModel model, int budget) {
        this.model = model;
        this.budget = budget;
        int blocks = model.sizeMb.length;
        first = new int[blocks + 1];
        holders = new int[blocks][];
        for (int b = 0; b < blocks; b++) {
            first[b + 1] = first[b] + model.initialHolders[b].length;
            holders[b] = new int[model.initialHolders[b].length];
        }
        used = new long[model.nodes()];
        inGroup = new int[model.groups];
        drainingInGroup = new int[model.groups];
    }

    /** Whether nothing can move, and not all rules are kept: then no plan exists. */
    static boolean stuck(PlacementModel model) {
        var exact = new AStarSearch(model, 1);
        System.arraycopy(model.initialHolders, 0, exact.holders, 0, model.initialHolders.length);
        System.arraycopy(model.initialUsedMb(), 0, exact.used, 0, exact.used.length);
        if (exact.goal()) {
            return false;
        }
        for (int b = 0; b < model.initialHolders.length; b++) {
            for (int from : model.initialHolders[b]) {
                for (int to = 0; to < model.nodes(); to++) {
                    if (exact.may(b, model.initialHolders[b], from, to)) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    private boolean may(int block, int[] own, int from, int to) {
        return to != from && !model.draining[to] && used[to] + model.sizeMb[block] <= model.capacityMb[to]
                && model.maySpread(block, own, from, to);
    }

    /** Looks for a way of less than {@code below} megabytes. */
    SearchResult search(long below) {
        Map<String, Long> best = new HashMap<>();
        var open = new PriorityQueue<SearchNode>(Comparator.comparingLong(SearchNode::estimate)
                .thenComparingLong(r -> -r.cost()));
        var start = new char[first[first.length - 1]];
        for (int b = 0; b < holders.length; b++) {
            write(start, b, model.initialHolders[b]);
        }
        String begin = new String(start);
        read(begin);
        offer(new SearchNode(begin, 0, estimate(), null, null), below, best, open);
        while (!open.isEmpty()) {
            SearchNode at = open.poll();
            if (at.cost() > best.get(at.at())) {
                continue;
            }
            read(at.at());
            if (goal()) {
                return new SearchResult(steps(at), at.cost(), true, at.cost(), best.size());
            }
            if (best.size() >= budget) {
                return new SearchResult(null, 0, false, at.estimate(), best.size());
            }
            expand(at, below, best, open);
        }
        return new SearchResult(null, 0, true, below, best.size());
    }

    private static void offer(SearchNode r, long below, Map<String, Long> best, PriorityQueue<SearchNode> open) {
        if (r.estimate() < below) {
            Long known = best.get(r.at());
            if (known == null || r.cost() < known) {
                best.put(r.at(), r.cost());
                open.add(r);
            }
        }
    }

    private void expand(SearchNode at, long below, Map<String, Long> best, PriorityQueue<SearchNode> open) {
        char[] text = at.at().toCharArray();
        for (int b = 0; b < holders.length; b++) {
            int[] own = holders[b].clone();
            for (int c = 0; c < own.length; c++) {
                int from = own[c];
                if (c > 0 && own[c - 1] == from) {
                    continue; // a second copy there, which only a block that need not be spread has
                }
                for (int to = 0; to < model.nodes(); to++) {
                    if (!may(b, own, from, to)) {
                        continue;
                    }
                    int[] moved = own.clone();
                    moved[c] = to;
                    Arrays.sort(moved);
                    write(text, b, moved);
                    holders[b] = moved;
                    used[from] -= model.sizeMb[b];
                    used[to] += model.sizeMb[b];
                    long cost = at.cost() + model.sizeMb[b];
                    offer(new SearchNode(new String(text), cost, cost + estimate(), at, new ReplicaMove(b, from, to)),
                            below,
                            best, open);
                    used[from] += model.sizeMb[b];
                    used[to] -= model.sizeMb[b];
                    holders[b] = own;
                    write(text, b, own);
                }
            }
        }
    }

    private void write(char[] text, int block, int[] own) {
        for (int c = 0; c < own.length; c++) {
            text[first[block] + c] = (char) own[c];
        }
    }

    private void read(String placement) {
        Arrays.fill(used, 0);
        for (int b = 0; b < holders.length; b++) {
            holders[b] = new int[first[b + 1] - first[b]];
            for (int c = 0; c < holders[b].length; c++) {
                holders[b][c] = placement.charAt(first[b] + c);
                used[holders[b][c]] += model.sizeMb[b];
            }
        }
    }

    private boolean goal() {
        for (int i = 0; i < used.length; i++) {
            if (used[i] > (model.draining[i] ? 0 : model.capacityMb[i])) {
                return false;
            }
        }
        return forcedBySpread() == 0 && model.level(used);
    }

    /** Bytes that must move at least: what drains, and of the rest what is over or beside, whichever is more. */
    private long estimate() {
        long draining = 0;
        long over = 0;
        for (int i = 0; i < used.length; i++) {
            if (model.draining[i]) {
                draining += used[i];
            } else {
                over += Math.max(0, used[i] - model.capacityMb[i]);
            }
        }
        return draining + Math.max(over, forcedBySpread());
    }

    /** Of the copies that stand together on nodes that don't drain, all but one must leave. */
    private long forcedBySpread() {
        long forced = 0;
        for (int b = 0; b < holders.length; b++) {
            if (!model.spread[b] || holders[b].length < 2) {
                continue;
            }
            Arrays.fill(inGroup, 0);
            Arrays.fill(drainingInGroup, 0);
            for (int h : holders[b]) {
                inGroup[model.group[h]]++;
                drainingInGroup[model.group[h]] += model.draining[h] ? 1 : 0;
            }
            for (int g = 0; g < inGroup.length; g++) {
                forced += Math.max(0, inGroup[g] - drainingInGroup[g] - 1) * model.sizeMb[b];
            }
        }
        return forced;
    }

    private static List<ReplicaMove> steps(SearchNode goal) {
        Deque<ReplicaMove> way = new ArrayDeque<>();
        for (SearchNode r = goal; r.before() != null; r = r.before()) {
            way.addFirst(r.step());
        }
        return new ArrayList<>(way);
    }
}
