package wallmoor.placement;

import java.util.Arrays;

/**
 * Quick proofs that nothing fits. Groups are cells, or nodes where only they keep copies apart. Each proof counts what
 * a part of the fleet would have to hold in the end, whatever the moves were.
 */
final class CapacityProof {
    private CapacityProof() {}

    /** Whether the blocks can't all stand where the rules let them, in the end. False proves nothing. */
    static boolean proven(PlacementModel model) {
        long[] capacity = new long[model.groups];
        long[] largest = new long[model.groups];
        for (int i = 0; i < model.nodes(); i++) {
            if (!model.draining[i]) {
                capacity[model.group[i]] += model.capacityMb[i];
                largest[model.group[i]] = Math.max(largest[model.group[i]], model.capacityMb[i]);
            }
        }
        Arrays.sort(largest);
        for (int b = 0; b < model.sizeMb.length; b++) {
            int needed = model.spread[b] ? model.initialHolders[b].length : 1;
            if (needed > model.groups || largest[model.groups - needed] < model.sizeMb[b]) {
                return true;
            }
        }
        return tooMuch(model, capacity) || tooFewPlaces(model);
    }

    /**
     * The groups that hold least, as many as m of them, must take what the others can't: a block of k copies stands in
     * each group once at most, so that k less the others' number are left.
     */
    private static boolean tooMuch(PlacementModel model, long[] capacity) {
        long[] sorted = capacity.clone();
        Arrays.sort(sorted);
        // left[m]: what m groups must take at least; a block of k copies leaves nothing until m is above groups - k
        long[] left = new long[model.groups + 1];
        for (int b = 0; b < model.sizeMb.length; b++) {
            int k = model.initialHolders[b].length;
            if (model.spread[b]) {
                for (int m = model.groups - k + 1; m <= model.groups; m++) {
                    left[m] += model.sizeMb[b] * (k - model.groups + m);
                }
            } else {
                left[model.groups] += model.sizeMb[b] * k;
            }
        }
        long held = 0;
        for (int m = 1; m <= model.groups; m++) {
            held += sorted[m - 1];
            if (left[m] > held) {
                return true;
            }
        }
        return false;
    }

    /** Of the blocks at least as large as any one of them, each node takes a whole number. */
    private static boolean tooFewPlaces(PlacementModel model) {
        long[] sizes = Arrays.stream(model.sizeMb).distinct().sorted().toArray();
        long[] copies = new long[sizes.length];
        for (int b = 0; b < model.sizeMb.length; b++) {
            copies[Arrays.binarySearch(sizes, model.sizeMb[b])] += model.initialHolders[b].length;
        }
        long wanted = 0;
        for (int s = sizes.length - 1; s >= 0; s--) {
            wanted += copies[s];
            long places = 0;
            for (int i = 0; i < model.nodes(); i++) {
                places += model.draining[i] ? 0 : model.capacityMb[i] / sizes[s];
            }
            if (wanted > places) {
                return true;
            }
        }
        return false;
    }
}
