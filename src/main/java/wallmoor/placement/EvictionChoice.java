package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the replicas that a greedy plan moves off their nodes: colocated replicas, and on a node above its window the
 * blocks with the smallest total size that covers the excess (subset sum, by dynamic programming).
 */
final class EvictionChoice {
    /** Size of the dynamic programming table, one int per sum; a node that needs a larger table evicts greedily. */
    private static final long MAX_SUMS = 1 << 22;
    /** Marks a sum that no subset of the blocks reaches. */
    private static final int UNREACHED = -1;

    private EvictionChoice() {}

    /**
     * Returns, by block, the nodes that its colocated replicas must leave: of several replicas in one group, all but
     * the one that stays. Replicas on draining nodes are not counted, since every replica leaves those anyway.
     */
    static Map<Integer, List<Integer>> colocated(PlacementModel model, BitSet[] blocksByNode, long[] usedMb,
            long[] highMb) {
        Map<Integer, List<Integer>> leaving = new TreeMap<>();
        if (model.groups == model.nodeCount()) {
            return leaving; // every group is a single node, which holds at most one replica of a block
        }
        for (int block = 0; block < model.sizeMb.length; block++) {
            if (!model.spread[block]) {
                continue;
            }
            for (List<Integer> nodes : holdersByGroup(model, blocksByNode, block).values()) {
                if (nodes.size() > 1) {
                    nodes.sort(Comparator.comparingLong(node -> usedMb[node] - highMb[node])); // the fullest evict
                    leaving.computeIfAbsent(block, unused -> new ArrayList<>()).addAll(nodes.subList(1, nodes.size()));
                }
            }
        }
        return leaving;
    }

    /** Returns, by group, the initial holders of a block that don't drain and that still hold it. */
    private static Map<Integer, List<Integer>> holdersByGroup(PlacementModel model, BitSet[] blocksByNode, int block) {
        Map<Integer, List<Integer>> byGroup = new TreeMap<>();
        for (int holder : model.initialHolders[block]) {
            if (!model.draining[holder] && blocksByNode[holder].get(block)) {
                byGroup.computeIfAbsent(model.group[holder], unused -> new ArrayList<>()).add(holder);
            }
        }
        return byGroup;
    }

    /** Returns the candidates with the smallest total size that is at least {@code excessMb} megabytes. */
    static List<Integer> smallestCover(PlacementModel model, BitSet candidates, long excessMb) {
        int[] descending = candidates.stream().boxed().sorted(Comparator.comparingLong(b -> -model.sizeMb[b]))
                .mapToInt(b -> b).toArray();
        if (descending.length == 0) {
            return new ArrayList<>();
        }
        long maxSum = excessMb + model.sizeMb[descending[0]];
        if (maxSum > MAX_SUMS) {
            return greedyCover(model, descending, excessMb);
        }
        int[] lastBlock = subsetSums(model, descending, (int) maxSum);
        int sum = (int) excessMb;
        while (sum < maxSum && lastBlock[sum] == UNREACHED) {
            sum++;
        }
        if (lastBlock[sum] == UNREACHED) {
            return greedyCover(model, descending, excessMb);
        }
        List<Integer> cover = new ArrayList<>();
        while (sum > 0) {
            int block = descending[lastBlock[sum]];
            cover.add(block);
            sum -= (int) model.sizeMb[block];
        }
        return cover;
    }

    /**
     * Returns, for each sum, the index of the first block in the given order that completes a subset with that sum, or
     * {@link #UNREACHED}. The rest of the sum is made up of earlier blocks.
     */
    private static int[] subsetSums(PlacementModel model, int[] blocks, int maxSum) {
        int[] lastBlock = new int[maxSum + 1];
        Arrays.fill(lastBlock, UNREACHED);
        for (int i = 0; i < blocks.length; i++) {
            int sizeMb = (int) model.sizeMb[blocks[i]];
            for (int sum = maxSum; sum >= sizeMb; sum--) {
                boolean reached = sum == sizeMb || lastBlock[sum - sizeMb] != UNREACHED;
                if (lastBlock[sum] == UNREACHED && reached) {
                    lastBlock[sum] = i;
                }
            }
        }
        return lastBlock;
    }

    /**
     * Returns blocks in descending size, skipping those larger than the megabytes still missing. A larger one is taken
     * if it is the last, or if nothing is chosen yet and the next one is smaller than the missing megabytes.
     */
    private static List<Integer> greedyCover(PlacementModel model, int[] descending, long excessMb) {
        List<Integer> cover = new ArrayList<>();
        long missingMb = excessMb;
        for (int i = 0; i < descending.length && missingMb > 0; i++) {
            long sizeMb = model.sizeMb[descending[i]];
            boolean last = i == descending.length - 1;
            if (sizeMb <= missingMb || last || (model.sizeMb[descending[i + 1]] < missingMb && cover.isEmpty())) {
                cover.add(descending[i]);
                missingMb -= sizeMb;
            }
        }
        return cover;
    }
}
