package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * A plan made step by step, each legal where it stands: what must leave goes first, the largest to where most is
 * lacking; what finds no room has others make some; then nodes that hold too little are filled. It may fail where a
 * plan exists.
 */
final class GreedyPlanner {
    /** Steps that may be made for the sake of one: each level multiplies the search by {@link #BREADTH}. */
    private static final int DEEPEST = 3;
    private static final int BREADTH = 12;
    /** Repairs at the end, each a look at all copies: what needs more is better begun with another window. */
    private static final int REPAIRS = 60;

    /** A copy, where it stands. */
    private record Copy(int block, int node) {}

    private final PlacementModel model;
    private final long[] low;
    private final long[] high;
    private final boolean tight;
    private final int[][] holders;
    private final long[] used;
    private final BitSet[] held;
    private final List<ReplicaMove> steps = new ArrayList<>();
    private long cost;

    /**
     * {@code window}: where the level's window of shares begins, in millionths. {@code tight}: what comes goes where it
     * leaves the least, not to the emptiest, so that large holes last.
     */
    GreedyPlanner(PlacementModel model, int window, boolean tight) {
        this.model = model;
        this.tight = tight;
        int n = model.nodes();
        low = new long[n];
        high = new long[n];
        held = new BitSet[n];
        for (int i = 0; i < n; i++) {
            low[i] = model.draining[i] ? 0 : Math.min(model.capacityMb[i], CopyLowerBound.low(model, i, window));
            high[i] = CopyLowerBound.high(model, i, window);
            held[i] = new BitSet();
        }
        holders = model.initialHolders.clone();
        used = model.initialUsedMb();
        for (int b = 0; b < holders.length; b++) {
            for (int h : holders[b]) {
                held[h].set(b);
            }
        }
    }

    long cost() {
        return cost;
    }

    List<ReplicaMove> moves() {
        return steps;
    }

    /** Whether it came to an end that keeps all rules. */
    boolean build() {
        List<Copy> out = new ArrayList<>();
        for (int i = 0; i < used.length; i++) {
            if (model.draining[i]) {
                for (int b = held[i].nextSetBit(0); b >= 0; b = held[i].nextSetBit(b + 1)) {
                    out.add(new Copy(b, i));
                }
            }
        }
        EvictionChoice.beside(model, held, used, high).forEach((b, from) -> from.forEach(n -> out.add(new Copy(b, n))));
        BitSet[] stays = new BitSet[used.length];
        long[] after = used.clone();
        for (int i = 0; i < used.length; i++) {
            stays[i] = (BitSet) held[i].clone();
        }
        for (Copy c : out) {
            stays[c.node()].clear(c.block());
            after[c.node()] -= model.sizeMb[c.block()];
        }
        for (int i = 0; i < used.length; i++) {
            if (!model.draining[i] && after[i] > high[i]) {
                for (int b : EvictionChoice.cover(model, stays[i], after[i] - high[i])) {
                    out.add(new Copy(b, i));
                }
            }
        }
        out.sort(Comparator.comparingLong((Copy c) -> -model.sizeMb[c.block()]).thenComparingInt(Copy::block)
                .thenComparingInt(Copy::node));
        if (!place(out)) {
            return false;
        }
        fill();
        repair();
        return reached();
    }

    /** Places all; what finds no room waits for what the others leave, then has room made for it. */
    private boolean place(List<Copy> out) {
        List<Copy> left = new ArrayList<>(out);
        for (int deep = 0; deep <= DEEPEST && !left.isEmpty();) {
            List<Copy> still = new ArrayList<>();
            for (Copy c : left) {
                if (!put(c.block(), c.node(), deep)) {
                    still.add(c);
                }
            }
            deep += still.size() == left.size() ? 1 : 0;
            left = still;
        }
        return left.isEmpty();
    }

    private boolean put(int block, int from, int deep) {
        int to = target(block, from, high);
        if (to < 0) {
            to = target(block, from, model.capacityMb);
        }
        if (to >= 0) {
            step(block, from, to);
            return true;
        }
        return deep > 0 && giveWay(block, from, deep - 1);
    }

    /** Has another block leave a node that this one may go to. */
    private boolean giveWay(int block, int from, int deep) {
        List<Copy> others = new ArrayList<>();
        for (int to = 0; to < used.length; to++) {
            if (to == from || model.draining[to] || held[to].get(block)
                    || !model.maySpread(block, holders[block], from, to)) {
                continue;
            }
            long needed = used[to] + model.sizeMb[block] - model.capacityMb[to];
            for (int b = held[to].nextSetBit(0); b >= 0; b = held[to].nextSetBit(b + 1)) {
                if (b != block && model.sizeMb[b] >= needed) {
                    others.add(new Copy(b, to));
                }
            }
        }
        others.sort(Comparator.comparingLong(c -> model.sizeMb[c.block()]));
        for (Copy c : others.subList(0, Math.min(others.size(), deep == 0 ? others.size() : BREADTH))) {
            int mark = steps.size();
            if (put(c.block(), c.node(), deep)) {
                if (held[from].get(block) && fits(block, from, c.node(), model.capacityMb)) {
                    step(block, from, c.node());
                    return true;
                }
                undo(mark);
            }
        }
        return false;
    }

    private boolean fits(int block, int from, int to, long[] most) {
        return to != from && !model.draining[to] && !held[to].get(block)
                && used[to] + model.sizeMb[block] <= Math.min(most[to], model.capacityMb[to])
                && model.maySpread(block, holders[block], from, to);
    }

    private int target(int block, int from, long[] most) {
        int best = -1;
        double bestScore = 0;
        for (int to = 0; to < used.length; to++) {
            if (fits(block, from, to, most)) {
                double lacking = Math.min(model.sizeMb[block], Math.max(0, low[to] - used[to]))
                        / (double) model.sizeMb[block];
                double full = (double) (used[to] + model.sizeMb[block]) / model.diskMb[to];
                double score = 2 * lacking + (tight ? full : -full);
                if (best < 0 || score > bestScore) {
                    best = to;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /**
     * Fills what holds too little, from those that can spare it: the largest that fits what is lacking, then the
     * smallest.
     */
    private void fill() {
        var hopeless = new BitSet();
        Integer[] bySize = IntStream.range(0, model.sizeMb.length).boxed()
                .sorted(Comparator.comparingLong(b -> -model.sizeMb[b])).toArray(Integer[]::new);
        while (true) {
            int to = -1;
            for (int i = 0; i < used.length; i++) {
                if (!hopeless.get(i) && used[i] < low[i] && (to < 0 || low[i] - used[i] > low[to] - used[to])) {
                    to = i;
                }
            }
            if (to < 0) {
                return;
            }
            Copy next = spare(to, bySize);
            if (next == null) {
                hopeless.set(to);
            } else {
                step(next.block(), next.node(), to);
            }
        }
    }

    /**
     * The copy that a node is best filled with, on the fullest of those that can spare it; null where there is none.
     */
    private Copy spare(int to, Integer[] bySize) {
        int fits = 0;
        while (fits < bySize.length && model.sizeMb[bySize[fits]] > low[to] - used[to]) {
            fits++;
        }
        // first those that fit what is lacking, then the others from their end
        for (int i = 0; i < bySize.length; i++) {
            int block = bySize[i < bySize.length - fits ? fits + i : bySize.length - 1 - i];
            int best = -1;
            for (int from : holders[block]) {
                if (used[from] - model.sizeMb[block] >= low[from] && fits(block, from, to, high) && (best < 0
                        || used[from] * (double) model.diskMb[best] > used[best] * (double) model.diskMb[from])) {
                    best = from;
                }
            }
            if (best >= 0) {
                return new Copy(block, best);
            }
        }
        return null;
    }

    /** Steps that bring nodes nearer to their window, the most for their bytes first. */
    private void repair() {
        int[] all = IntStream.range(0, used.length).toArray();
        for (int i = 0; i < REPAIRS && !reached(); i++) {
            int[] lacking = IntStream.of(all).filter(n -> used[n] < low[n]).toArray();
            ReplicaMove best = null;
            double bestGain = 0;
            for (int from = 0; from < used.length; from++) {
                int[] targets = used[from] > high[from] ? all : lacking;
                for (int b = held[from].nextSetBit(0); b >= 0 && targets.length > 0; b = held[from].nextSetBit(b + 1)) {
                    for (int to : targets) {
                        double gain = (off(from, 0) + off(to, 0) - off(from, -model.sizeMb[b])
                                - off(to, model.sizeMb[b]))
                                / (double) model.sizeMb[b];
                        if (gain > bestGain && fits(b, from, to, model.capacityMb)) {
                            bestGain = gain;
                            best = new ReplicaMove(b, from, to);
                        }
                    }
                }
            }
            if (best == null) {
                return;
            }
            step(best.block(), best.from(), best.to());
        }
    }

    /** By how much a node would be outside of its window. */
    private long off(int node, long more) {
        long would = used[node] + more;
        return Math.max(0, would - high[node]) + Math.max(0, low[node] - would);
    }

    private boolean reached() {
        for (int i = 0; i < used.length; i++) {
            if (used[i] > (model.draining[i] ? 0 : model.capacityMb[i])) {
                return false;
            }
        }
        return model.level(used) && EvictionChoice.beside(model, held, used, high).isEmpty();
    }

    private void step(int block, int from, int to) {
        var s = new ReplicaMove(block, from, to);
        apply(s);
        steps.add(s);
        cost += model.sizeMb[block];
    }

    private void apply(ReplicaMove s) {
        holders[s.block()] = WaveScheduler.withMoved(holders[s.block()], s);
        held[s.from()].clear(s.block());
        held[s.to()].set(s.block());
        used[s.from()] -= model.sizeMb[s.block()];
        used[s.to()] += model.sizeMb[s.block()];
    }

    private void undo(int mark) {
        while (steps.size() > mark) {
            ReplicaMove s = steps.remove(steps.size() - 1);
            apply(new ReplicaMove(s.block(), s.to(), s.from()));
            cost -= model.sizeMb[s.block()];
        }
    }
}
