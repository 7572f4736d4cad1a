package wallmoor.placement;

import java.util.BitSet;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Computes a lower bound on the megabytes that a plan copies, for problems of any size. Replicas must leave draining
 * nodes, nodes above their upper limit, and cells that hold another replica of the block; replicas must arrive at nodes
 * below the level's window. Blocks move as a whole, and the exchange between cells is limited by the blocks that may
 * change their cell. The window of shares may have any position: intervals cover all positions, and the least of their
 * bounds is the result.
 */
final class CopyLowerBound {
    /** The bound where no position of the window can be reached. */
    static final long INFEASIBLE = Long.MAX_VALUE;
    /** Total size of the subset sums of all nodes, in bits: 64 MiB of heap. */
    private static final long MAX_SUM_BITS = 1L << 29;
    /** Number of intervals examined, at microseconds per node each; if it is used up, the bound is slightly lower. */
    private static final int MAX_INTERVALS = 2_000;

    /**
     * A range of positions of the window's lower end, in millionths of a disk, and the megabytes that any plan whose
     * window lies there copies at least.
     */
    private record Interval(int from, int to, long boundMb) {}

    /**
     * A lower bound in megabytes, and the window that it was found for.
     *
     * @param window lower end of the window, in millionths of a disk
     */
    record WindowBound(long copiedMb, int window) {}

    private final PlacementModel model;
    private final long[] usedMb;
    /** Sums of the subsets of each node's blocks; null for draining nodes and beyond {@link #MAX_SUM_BITS}. */
    private final BitSet[] subsetSums;
    private final long[] smallestBlockMb;
    /** Area of each node: its cell if replicas are spread over cells, otherwise one area for all nodes. */
    private final int[] area;
    private final int areaCount;
    /**
     * Megabytes per area: colocated replicas that must leave, the net inflow that is certain, and how much more may
     * leave or arrive.
     */
    private final long[] colocatedMb;
    private final long[] netInflowMb;
    private final long[] mayLeaveMb;
    private final long[] mayArriveMb;
    /** Megabytes of colocated replicas per node. */
    private final long[] colocatedOnNodeMb;

    CopyLowerBound(PlacementModel model) {
        this.model = model;
        usedMb = model.initialUsedMb();
        int n = model.nodeCount();
        boolean spreadsOverCells = model.problem.spread() == FailureDomain.CELL;
        area = spreadsOverCells ? model.group : new int[n];
        areaCount = spreadsOverCells ? model.groups : 1;
        subsetSums = new BitSet[n];
        smallestBlockMb = new long[n];
        colocatedMb = new long[areaCount];
        netInflowMb = new long[areaCount];
        mayLeaveMb = new long[areaCount];
        mayArriveMb = new long[areaCount];
        colocatedOnNodeMb = new long[n];
        computeSubsetSums();
        sumAreas();
    }

    static WindowBound of(PlacementModel model) {
        return new CopyLowerBound(model).findBound();
    }

    /** Computes the subset sums of the blocks of each non-draining node, within the limit of bits. */
    private void computeSubsetSums() {
        long bits = 0;
        for (int i = 0; i < usedMb.length; i++) {
            bits += usedMb[i] + 1;
            if (bits <= MAX_SUM_BITS && !model.draining[i]) {
                subsetSums[i] = new BitSet((int) usedMb[i] + 1);
                subsetSums[i].set(0);
            }
        }
        for (int b = 0; b < model.sizeMb.length; b++) {
            for (int holder : model.initialHolders[b]) {
                smallestBlockMb[holder] = smallestBlockMb[holder] == 0
                        ? model.sizeMb[b]
                        : Math.min(smallestBlockMb[holder], model.sizeMb[b]);
                if (subsetSums[holder] != null) {
                    subsetSums[holder] = unionShifted(subsetSums[holder], (int) model.sizeMb[b]);
                }
            }
        }
    }

    /** Returns the union of a set and the set with {@code by} added to each of its numbers. */
    private static BitSet unionShifted(BitSet set, int by) {
        long[] words = set.toLongArray();
        int wordShift = by >> 6;
        int bitShift = by & 63;
        long[] shifted = new long[words.length + wordShift + 1];
        for (int w = 0; w < words.length; w++) {
            shifted[w + wordShift] |= words[w] << bitShift;
            if (bitShift > 0) {
                shifted[w + wordShift + 1] |= words[w] >>> (64 - bitShift);
            }
        }
        for (int w = 0; w < words.length; w++) {
            shifted[w] |= words[w];
        }
        return BitSet.valueOf(shifted);
    }

    /** Sums up, by area, the megabytes that each block must and may exchange with other areas. */
    private void sumAreas() {
        var isLive = new boolean[areaCount];
        int liveAreas = 0;
        for (int i = 0; i < usedMb.length; i++) {
            if (!model.draining[i] && !isLive[area[i]]) {
                isLive[area[i]] = true;
                liveAreas++;
            }
        }
        for (int b = 0; b < model.sizeMb.length; b++) {
            boolean mustSpread = model.spread[b] && areaCount > 1;
            boolean inEveryArea = mustSpread && model.initialHolders[b].length == liveAreas;
            addBlock(b, isLive, mustSpread, inEveryArea);
        }
    }

    /**
     * Adds one block to the sums by area.
     *
     * @param isLive      whether each area has a node that does not drain
     * @param mustSpread  whether the block's replicas must be in different areas
     * @param inEveryArea whether the block ends with one replica in every live area
     */
    private void addBlock(int block, boolean[] isLive, boolean mustSpread, boolean inEveryArea) {
        var replicas = new int[areaCount];
        var staying = new int[areaCount];
        for (int node : model.initialHolders[block]) {
            replicas[area[node]]++;
            staying[area[node]] += model.draining[node] ? 0 : 1;
        }
        long sizeMb = model.sizeMb[block];
        for (int a = 0; a < areaCount; a++) {
            if (inEveryArea) {
                netInflowMb[a] += sizeMb * ((isLive[a] ? 1 : 0) - replicas[a]);
            } else {
                mayLeaveMb[a] += sizeMb * replicas[a];
                int maxAdded = mustSpread
                        ? Math.max(0, 1 - replicas[a])
                        : model.initialHolders[block].length - replicas[a];
                mayArriveMb[a] += isLive[a] ? sizeMb * maxAdded : 0;
            }
            if (mustSpread && staying[a] > 1) {
                colocatedMb[a] += sizeMb * (staying[a] - 1);
                for (int node : model.initialHolders[block]) {
                    colocatedOnNodeMb[node] += area[node] == a ? sizeMb : 0;
                }
            }
        }
    }

    /** Searches the intervals of window positions, best first, for the least bound. */
    private WindowBound findBound() {
        if (!model.windowed) {
            return new WindowBound(boundBetween(0, PlacementProblem.MILLION), 0);
        }
        var queue = new PriorityQueue<Interval>(Comparator.comparingLong(Interval::boundMb)
                .thenComparingInt(i -> i.to() - i.from()));
        queue.add(new Interval(0, PlacementProblem.MILLION, boundBetween(0, PlacementProblem.MILLION)));
        for (int examined = 0;; examined++) {
            Interval interval = queue.poll();
            if (interval.to() - interval.from() <= 1 || interval.boundMb() == INFEASIBLE || examined >= MAX_INTERVALS) {
                return new WindowBound(interval.boundMb(), interval.from());
            }
            int middle = interval.from() + (interval.to() - interval.from()) / 2;
            queue.add(new Interval(interval.from(), middle, boundBetween(interval.from(), middle)));
            queue.add(new Interval(middle, interval.to(), boundBetween(middle, interval.to())));
        }
    }

    /** Returns the megabytes that must move if the window's lower end lies between {@code from} and {@code to}. */
    private long boundBetween(int from, int to) {
        var mustLeaveMb = new long[areaCount];
        var mustArriveMb = new long[areaCount];
        var coveredMb = new long[areaCount];
        var maxHeldMb = new long[areaCount];
        var minHeldMb = new long[areaCount];
        var heldMb = new long[areaCount];
        for (int i = 0; i < usedMb.length; i++) {
            int a = area[i];
            heldMb[a] += usedMb[i];
            if (model.draining[i]) {
                mustLeaveMb[a] += usedMb[i];
                continue;
            }
            long highMb = highMb(model, i, to);
            long lowMb = lowMb(model, i, from);
            maxHeldMb[a] += highMb;
            minHeldMb[a] += lowMb;
            long excessMb = smallestSumAtLeast(i, usedMb[i] - highMb);
            mustLeaveMb[a] += excessMb;
            coveredMb[a] += Math.min(excessMb, colocatedOnNodeMb[i]);
            mustArriveMb[a] += Math.max(0, lowMb - usedMb[i]);
        }
        long leavingMb = 0;
        long exchangedMb = 0;
        long lackingMb = 0;
        for (int a = 0; a < areaCount; a++) {
            if (heldMb[a] + netInflowMb[a] + mayArriveMb[a] < minHeldMb[a]
                    || heldMb[a] + netInflowMb[a] - mayLeaveMb[a] > maxHeldMb[a]) {
                return INFEASIBLE;
            }
            mustLeaveMb[a] += colocatedMb[a] - Math.min(colocatedMb[a], coveredMb[a]);
            leavingMb += mustLeaveMb[a];
            // what leaves plus the net inflow must reach what arrives: the shortfall comes from other areas, or from
            // further moves within this area
            long shortfallMb = mustArriveMb[a] - netInflowMb[a] - mustLeaveMb[a];
            long exchangeableMb = Math.min(mayArriveMb[a], Math.max(-mayLeaveMb[a], shortfallMb));
            lackingMb += Math.max(0, shortfallMb - exchangeableMb);
            exchangedMb += exchangeableMb + netInflowMb[a];
        }
        return leavingMb + lackingMb + Math.max(0, exchangedMb);
    }

    /** Returns the least total size of a subset of a node's blocks that is at least {@code excessMb} megabytes. */
    private long smallestSumAtLeast(int node, long excessMb) {
        if (excessMb <= 0) {
            return 0;
        }
        return subsetSums[node] == null
                ? Math.max(excessMb, smallestBlockMb[node])
                : subsetSums[node].nextSetBit((int) excessMb);
    }

    /**
     * Returns the most megabytes that a node may hold at the end.
     *
     * @param window lower end of the window, in millionths of a disk
     */
    static long highMb(PlacementModel model, int node, int window) {
        if (!model.windowed || !model.levelled[node]) {
            return model.capacityMb[node];
        }
        return Math.min(model.capacityMb[node],
                model.diskMb[node] * (window + model.windowWidth()) / PlacementProblem.MILLION);
    }

    /**
     * Returns the fewest megabytes that a node may hold at the end.
     *
     * @param window lower end of the window, in millionths of a disk
     */
    static long lowMb(PlacementModel model, int node, int window) {
        if (!model.windowed || !model.levelled[node]) {
            return 0;
        }
        return (model.diskMb[node] * window + PlacementProblem.MILLION - 1) / PlacementProblem.MILLION;
    }
}
