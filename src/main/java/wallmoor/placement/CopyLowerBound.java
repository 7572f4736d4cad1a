package wallmoor.placement;

import java.util.BitSet;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Megabytes that every plan copies at least, for fleets of any size. Every node must give what drains, what is over
 * its bound and what stands beside another copy, and take what it lacks for the level; whole blocks only; and what the
 * cells take from each other is limited by the blocks that may change their cell. The level's window of shares may lie
 * anywhere: all places of it are covered by intervals, and the least of their bounds holds.
 */
final class CopyLowerBound {
    /** No place of the window can be had. */
    static final long INFEASIBLE = Long.MAX_VALUE;
    /** Bits of the sums of a node's blocks, for all nodes: 64 MiB of heap at most. */
    private static final long MOST_BITS = 1L << 29;
    /** Intervals looked at: each costs microseconds a node; where they are used up the bound is a little lower. */
    private static final int INTERVALS = 2_000;

    /**
     * Where the window's lower end may lie, in millionths of a disk, and what any plan that ends there copies at
     * least.
     */
    private record Interval(int from, int to, long mb) {}

    /** A bound, and where the window lies that it was found for. */
    record WindowBound(long copiedMb, int window) {}

    private final PlacementModel model;
    private final long[] used;
    private final BitSet[] sums;
    private final long[] smallest;
    private final int[] area;
    private final int areas;
    /** For each area: what stands beside another copy, what surely comes or goes, and how much more may go or come. */
    private final long[] beside;
    private final long[] net;
    private final long[] mayGo;
    private final long[] mayCome;
    private final long[] besideOn;

    CopyLowerBound(PlacementModel model) {
        this.model = model;
        used = model.initialUsedMb();
        int n = model.nodes();
        boolean cells = model.fleet.spread() == FailureDomain.CELL;
        area = cells ? model.group : new int[n];
        areas = cells ? model.groups : 1;
        sums = new BitSet[n];
        smallest = new long[n];
        beside = new long[areas];
        net = new long[areas];
        mayGo = new long[areas];
        mayCome = new long[areas];
        besideOn = new long[n];
        sums();
        sumAreas();
    }

    static WindowBound of(PlacementModel model) {
        return new CopyLowerBound(model).least();
    }

    private void sums() {
        long bits = 0;
        for (int i = 0; i < used.length; i++) {
            bits += used[i] + 1;
            if (bits <= MOST_BITS && !model.draining[i]) {
                sums[i] = new BitSet((int) used[i] + 1);
                sums[i].set(0);
            }
        }
        for (int b = 0; b < model.sizeMb.length; b++) {
            for (int h : model.initialHolders[b]) {
                smallest[h] = smallest[h] == 0 ? model.sizeMb[b] : Math.min(smallest[h], model.sizeMb[b]);
                if (sums[h] != null) {
                    sums[h] = withShifted(sums[h], (int) model.sizeMb[b]);
                }
            }
        }
    }

    private static BitSet withShifted(BitSet set, int by) {
        long[] words = set.toLongArray();
        int whole = by >> 6;
        int part = by & 63;
        long[] shifted = new long[words.length + whole + 1];
        for (int w = 0; w < words.length; w++) {
            shifted[w + whole] |= words[w] << part;
            if (part > 0) {
                shifted[w + whole + 1] |= words[w] >>> (64 - part);
            }
        }
        for (int w = 0; w < words.length; w++) {
            shifted[w] |= words[w];
        }
        return BitSet.valueOf(shifted);
    }

    /** Sums up, by area, what each block must and may exchange. */
    private void sumAreas() {
        var live = new boolean[areas];
        int liveAreas = 0;
        for (int i = 0; i < used.length; i++) {
            if (!model.draining[i] && !live[area[i]]) {
                live[area[i]] = true;
                liveAreas++;
            }
        }
        for (int b = 0; b < model.sizeMb.length; b++) {
            boolean apart = model.spread[b] && areas > 1;
            boolean everywhere = apart && model.initialHolders[b].length == liveAreas;
            sumBlock(b, live, apart, everywhere);
        }
    }

    /** @param everywhere whether the block ends with one replica in every live area */
    private void sumBlock(int block, boolean[] live, boolean apart, boolean everywhere) {
        var replicas = new int[areas];
        var staying = new int[areas];
        for (int node : model.initialHolders[block]) {
            replicas[area[node]]++;
            staying[area[node]] += model.draining[node] ? 0 : 1;
        }
        long mb = model.sizeMb[block];
        for (int a = 0; a < areas; a++) {
            if (everywhere) {
                net[a] += mb * ((live[a] ? 1 : 0) - replicas[a]);
            } else {
                mayGo[a] += mb * replicas[a];
                int mostMore = apart ? Math.max(0, 1 - replicas[a]) : model.initialHolders[block].length - replicas[a];
                mayCome[a] += live[a] ? mb * mostMore : 0;
            }
            if (apart && staying[a] > 1) {
                beside[a] += mb * (staying[a] - 1);
                for (int node : model.initialHolders[block]) {
                    besideOn[node] += area[node] == a ? mb : 0;
                }
            }
        }
    }

    private WindowBound least() {
        if (!model.windowed) {
            return new WindowBound(between(0, PlacementProblem.MILLION), 0);
        }
        var open = new PriorityQueue<Interval>(Comparator.comparingLong(Interval::mb)
                .thenComparingInt(i -> i.to() - i.from()));
        open.add(new Interval(0, PlacementProblem.MILLION, between(0, PlacementProblem.MILLION)));
        for (int looked = 0;; looked++) {
            Interval at = open.poll();
            if (at.to() - at.from() <= 1 || at.mb() == INFEASIBLE || looked >= INTERVALS) {
                return new WindowBound(at.mb(), at.from());
            }
            int middle = at.from() + (at.to() - at.from()) / 2;
            open.add(new Interval(at.from(), middle, between(at.from(), middle)));
            open.add(new Interval(middle, at.to(), between(middle, at.to())));
        }
    }

    /** What must move where the window's lower end lies between the two. */
    private long between(int from, int to) {
        var give = new long[areas];
        var take = new long[areas];
        var covered = new long[areas];
        var most = new long[areas];
        var fewest = new long[areas];
        var holds = new long[areas];
        for (int i = 0; i < used.length; i++) {
            int a = area[i];
            holds[a] += used[i];
            if (model.draining[i]) {
                give[a] += used[i];
                continue;
            }
            long high = high(model, i, to);
            long low = low(model, i, from);
            most[a] += high;
            fewest[a] += low;
            long over = cover(i, used[i] - high);
            give[a] += over;
            covered[a] += Math.min(over, besideOn[i]);
            take[a] += Math.max(0, low - used[i]);
        }
        long given = 0;
        long exchanged = 0;
        long lacking = 0;
        for (int a = 0; a < areas; a++) {
            if (holds[a] + net[a] + mayCome[a] < fewest[a] || holds[a] + net[a] - mayGo[a] > most[a]) {
                return INFEASIBLE;
            }
            give[a] += beside[a] - Math.min(beside[a], covered[a]);
            given += give[a];
            // give + net must reach take: what is short of it comes from other cells, or is given once more within
            long wanted = take[a] - net[a] - give[a];
            long more = Math.min(mayCome[a], Math.max(-mayGo[a], wanted));
            lacking += Math.max(0, wanted - more);
            exchanged += more + net[a];
        }
        return given + lacking + Math.max(0, exchanged);
    }

    /** The least that a node's whole blocks come to, of those that are at least so much together. */
    private long cover(int node, long over) {
        if (over <= 0) {
            return 0;
        }
        return sums[node] == null ? Math.max(over, smallest[node]) : sums[node].nextSetBit((int) over);
    }

    /** The most that a node holds where the window's lower end lies there, in millionths of its disk. */
    static long high(PlacementModel model, int node, int window) {
        if (!model.windowed || !model.levelled[node]) {
            return model.capacityMb[node];
        }
        return Math.min(model.capacityMb[node],
                model.diskMb[node] * (window + model.window()) / PlacementProblem.MILLION);
    }

    /** The least that it holds. */
    static long low(PlacementModel model, int node, int window) {
        if (!model.windowed || !model.levelled[node]) {
            return 0;
        }
        return (model.diskMb[node] * window + PlacementProblem.MILLION - 1) / PlacementProblem.MILLION;
    }
}
