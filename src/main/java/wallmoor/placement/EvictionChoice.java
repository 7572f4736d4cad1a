package wallmoor.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Which copies a draft has leave their nodes. */
final class EvictionChoice {
    /** Sums looked at for a node's cover, an int each; a node that needs more gives its largest first. */
    private static final long MOST_SUMS = 1 << 22;

    private EvictionChoice() {}

    /**
     * Of the copies that stand beside another of their block, all but one of each group that don't drain: those that
     * leave.
     */
    static Map<Integer, List<Integer>> beside(PlacementModel model, BitSet[] held, long[] used, long[] high) {
        Map<Integer, List<Integer>> leave = new TreeMap<>();
        for (int b = 0; b < model.sizeMb.length; b++) {
            if (!model.spread[b] || model.groups == model.nodes()) {
                continue; // two copies on one node there are not
            }
            Map<Integer, List<Integer>> together = new TreeMap<>();
            for (int h : model.initialHolders[b]) {
                if (!model.draining[h] && held[h].get(b)) {
                    together.computeIfAbsent(model.group[h], g -> new ArrayList<>()).add(h);
                }
            }
            for (List<Integer> nodes : together.values()) {
                if (nodes.size() > 1) {
                    nodes.sort(Comparator.comparingLong(n -> used[n] - high[n])); // the fullest leave
                    leave.computeIfAbsent(b, x -> new ArrayList<>()).addAll(nodes.subList(1, nodes.size()));
                }
            }
        }
        return leave;
    }

    /** Blocks of a node that are together at least {@code over} megabytes, by as little as can be. */
    static List<Integer> cover(PlacementModel model, BitSet held, long over) {
        int[] blocks = held.stream().boxed().sorted(Comparator.comparingLong(b -> -model.sizeMb[b]))
                .mapToInt(b -> b).toArray();
        List<Integer> cover = new ArrayList<>();
        if (blocks.length == 0) {
            return cover;
        }
        long width = over + model.sizeMb[blocks[0]];
        if (width > MOST_SUMS) {
            return byLargest(model, blocks, over);
        }
        // last[s]: the block after which, taken in their order, the sum s is first reached: its rest
        // was reached earlier
        int[] last = new int[(int) width + 1];
        java.util.Arrays.fill(last, -1);
        for (int i = 0; i < blocks.length; i++) {
            int mb = (int) model.sizeMb[blocks[i]];
            for (int s = (int) width; s >= mb; s--) {
                if (last[s] < 0 && (s == mb || last[s - mb] >= 0)) {
                    last[s] = i;
                }
            }
        }
        int sum = (int) over;
        while (sum < width && last[sum] < 0) {
            sum++;
        }
        if (last[sum] < 0) {
            return byLargest(model, blocks, over);
        }
        while (sum > 0) {
            int block = blocks[last[sum]];
            cover.add(block);
            sum -= (int) model.sizeMb[block];
        }
        return cover;
    }

    private static List<Integer> byLargest(PlacementModel model, int[] descending, long over) {
        List<Integer> cover = new ArrayList<>();
        long left = over;
        for (int i = 0; i < descending.length && left > 0; i++) {
            boolean last = i == descending.length - 1;
            if (model.sizeMb[descending[i]] <= left || last
                    || (model.sizeMb[descending[i + 1]] < left && cover.isEmpty())) {
                cover.add(descending[i]);
                left -= model.sizeMb[descending[i]];
            }
        }
        return cover;
    }
}
