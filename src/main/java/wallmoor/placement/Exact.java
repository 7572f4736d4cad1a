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
import wallmoor.placement.Model.Step;

/**
 * The least bytes, by A* over placements: a placement is the node of every copy, an edge is a legal move, its length
 * the move's bytes. So what must be moved twice to make room is found and counted. Ends at the goal, at the end of all
 * that can be reached, or when its budget is used up.
 */
final class Exact {
    /** What a search came to: a way, or none where all was seen, or neither. */
    record Found(List<Step> steps, long mb, boolean complete, long boundMb, int states) {}

    /** A placement that was reached. */
    private record Reached(String at, long cost, long estimate, Reached before, Step step) {}

    private final Model model;
    private final int budget;
    private final int[] first;
    private final int[][] holders;
    private final long[] used;
    private final int[] inGroup;
    private final int[] drainingInGroup;

    /** {@code budget}: placements kept at most. */
    Exact(Model model, int budget) {
        this.model = model;
        this.budget = budget;
        int blocks = model.mb.length;
        first = new int[blocks + 1];
        holders = new int[blocks][];
        for (int b = 0; b < blocks; b++) {
            first[b + 1] = first[b] + model.on[b].length;
            holders[b] = new int[model.on[b].length];
        }
        used = new long[model.nodes()];
        inGroup = new int[model.groups];
        drainingInGroup = new int[model.groups];
    }

    /** Whether nothing can move, and not all rules are kept: then no plan exists. */
    static boolean stuck(Model model) {
        var exact = new Exact(model, 1);
        System.arraycopy(model.on, 0, exact.holders, 0, model.on.length);
        System.arraycopy(model.used(), 0, exact.used, 0, exact.used.length);
        if (exact.goal()) {
            return false;
        }
        for (int b = 0; b < model.on.length; b++) {
            for (int from : model.on[b]) {
                for (int to = 0; to < model.nodes(); to++) {
                    if (exact.may(b, model.on[b], from, to)) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    private boolean may(int block, int[] own, int from, int to) {
        return to != from && !model.drain[to] && used[to] + model.mb[block] <= model.room[to]
                && model.apart(block, own, from, to);
    }

    /** Looks for a way of less than {@code below} megabytes. */
    Found search(long below) {
        Map<String, Long> best = new HashMap<>();
        var open = new PriorityQueue<Reached>(Comparator.comparingLong(Reached::estimate)
                .thenComparingLong(r -> -r.cost()));
        var start = new char[first[first.length - 1]];
        for (int b = 0; b < holders.length; b++) {
            write(start, b, model.on[b]);
        }
        String begin = new String(start);
        read(begin);
        offer(new Reached(begin, 0, estimate(), null, null), below, best, open);
        while (!open.isEmpty()) {
            Reached at = open.poll();
            if (at.cost() > best.get(at.at())) {
                continue;
            }
            read(at.at());
            if (goal()) {
                return new Found(steps(at), at.cost(), true, at.cost(), best.size());
            }
            if (best.size() >= budget) {
                return new Found(null, 0, false, at.estimate(), best.size());
            }
            expand(at, below, best, open);
        }
        return new Found(null, 0, true, below, best.size());
    }

    private static void offer(Reached r, long below, Map<String, Long> best, PriorityQueue<Reached> open) {
        if (r.estimate() < below) {
            Long known = best.get(r.at());
            if (known == null || r.cost() < known) {
                best.put(r.at(), r.cost());
                open.add(r);
            }
        }
    }

    private void expand(Reached at, long below, Map<String, Long> best, PriorityQueue<Reached> open) {
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
                    used[from] -= model.mb[b];
                    used[to] += model.mb[b];
                    long cost = at.cost() + model.mb[b];
                    offer(new Reached(new String(text), cost, cost + estimate(), at, new Step(b, from, to)), below,
                            best, open);
                    used[from] += model.mb[b];
                    used[to] -= model.mb[b];
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
                used[holders[b][c]] += model.mb[b];
            }
        }
    }

    private boolean goal() {
        for (int i = 0; i < used.length; i++) {
            if (used[i] > (model.drain[i] ? 0 : model.room[i])) {
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
            if (model.drain[i]) {
                draining += used[i];
            } else {
                over += Math.max(0, used[i] - model.room[i]);
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
                drainingInGroup[model.group[h]] += model.drain[h] ? 1 : 0;
            }
            for (int g = 0; g < inGroup.length; g++) {
                forced += Math.max(0, inGroup[g] - drainingInGroup[g] - 1) * model.mb[b];
            }
        }
        return forced;
    }

    private static List<Step> steps(Reached goal) {
        Deque<Step> way = new ArrayDeque<>();
        for (Reached r = goal; r.before() != null; r = r.before()) {
            way.addFirst(r.step());
        }
        return new ArrayList<>(way);
    }
}
