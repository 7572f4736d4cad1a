package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which replicas a greedy plan has leave their nodes: colocated ones, and of a node above its window the blocks of the
 * least size in all (subset sum, by dynamic programming).
 */
final class EvictionChoice {
    /** Sums in the dynamic programming's table at most, an int each; a node that needs more evicts greedily. */
    private static final long MAX_SUMS = 1 << 22;
    /** Marks a sum that no blocks reach. */
    private static final int UNREACHED = -1;

    private EvictionChoice() {}

    /**
     * Replicas that stand in one group with another of their block, less the one that stays: by block, the nodes that
     * it leaves. Draining nodes don't count, as all leaves them.
     */
    static Map<Integer, List<Integer>> colocated(PlacementModel model, BitSet[] blocksByNode, long[] usedMb,
            long[] highMb) {
        Map<Integer, List<Integer>> leaving = new TreeMap<>();
        if (model.groups == model.nodes()) {
            return leaving; // a node has one replica of a block at most
        }
        for (int block = 0; block < model.sizeMb.length; block++) {
            if (!model.spread[block]) {
                continue;
            }
            for (List<Integer> nodes : holdersByGroup(model, blocksByNode, block).values()) {
                if (nodes.size() > 1) {
                    nodes.sort(Comparator.comparingLong(node -> usedMb[node] - highMb[node])); // the fullest leave
                    leaving.computeIfAbsent(block, unused -> new ArrayList<>()).addAll(nodes.subList(1, nodes.size()));
                }
            }
        }
        return leaving;
    }

    /** The initial holders of a block that don't drain and hold it still. */
    private static Map<Integer, List<Integer>> holdersByGroup(PlacementModel model, BitSet[] blocksByNode, int block) {
        Map<Integer, List<Integer>> byGroup = new TreeMap<>();
        for (int holder : model.initialHolders[block]) {
            if (!model.draining[holder] && blocksByNode[holder].get(block)) {
                byGroup.computeIfAbsent(model.group[holder], unused -> new ArrayList<>()).add(holder);
            }
        }
        return byGroup;
    }

    /** Of the given blocks, some of at least {@code excessMb} megabytes in all, by as little more as can be. */
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
     * For each sum, the index of the block with which it is first reached, taking the blocks in their order; the rest
     * of the sum was reached by earlier ones.
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

    /** The largest blocks that are not more than what is missing, and a smallest that is where those don't do. */
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
