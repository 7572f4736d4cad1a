package wallmoor.placement;

import java.util.Arrays;

/**
 * Quick proofs by counting that a problem is infeasible. Each counts what a part of the nodes would have to hold in the
 * end, whatever the moves were. Groups are cells, or nodes where only they keep replicas apart.
 */
final class CapacityProof {
    private CapacityProof() {}

    /** Whether it is proven that the blocks can't all stand where the rules let them. False proves nothing. */
    static boolean proven(PlacementModel model) {
        return someBlockFitsNowhere(model) || groupsOverloaded(model) || tooFewSlots(model);
    }

    /** A block needs as many groups as it has replicas, each with a node that it fits on when empty. */
    private static boolean someBlockFitsNowhere(PlacementModel model) {
        long[] largestNodeMb = new long[model.groups];
        for (int node = 0; node < model.nodes(); node++) {
            if (!model.draining[node]) {
                int group = model.group[node];
                largestNodeMb[group] = Math.max(largestNodeMb[group], model.capacityMb[node]);
            }
        }
        Arrays.sort(largestNodeMb);
        for (int block = 0; block < model.sizeMb.length; block++) {
            int groupsNeeded = model.spread[block] ? model.initialHolders[block].length : 1;
            if (groupsNeeded > model.groups
                    || largestNodeMb[model.groups - groupsNeeded] < model.sizeMb[block]) {
                return true;
            }
        }
        return false;
    }

    /**
     * The m groups of the least capacity must take what the others can't: a block of k replicas stands in each group
     * once at most, so that k less the number of the others are left.
     */
    private static boolean groupsOverloaded(PlacementModel model) {
        long[] leftMb = leftForGroupsMb(model);
        long[] ascendingMb = groupCapacityMb(model);
        Arrays.sort(ascendingMb);
        long capacityMb = 0;
        for (int m = 1; m <= model.groups; m++) {
            capacityMb += ascendingMb[m - 1];
            if (leftMb[m] > capacityMb) {
                return true;
            }
        }
        return false;
    }

    /** At m: what any m groups must take at least. A block of k replicas leaves nothing until m is above groups - k. */
    private static long[] leftForGroupsMb(PlacementModel model) {
        long[] leftMb = new long[model.groups + 1];
        for (int block = 0; block < model.sizeMb.length; block++) {
            int replicas = model.initialHolders[block].length;
            if (model.spread[block]) {
                for (int m = model.groups - replicas + 1; m <= model.groups; m++) {
                    leftMb[m] += model.sizeMb[block] * (replicas - model.groups + m);
                }
            } else {
                leftMb[model.groups] += model.sizeMb[block] * replicas;
            }
        }
        return leftMb;
    }

    private static long[] groupCapacityMb(PlacementModel model) {
        long[] capacityMb = new long[model.groups];
        for (int node = 0; node < model.nodes(); node++) {
            if (!model.draining[node]) {
                capacityMb[model.group[node]] += model.capacityMb[node];
            }
        }
        return capacityMb;
    }

    /** Of the blocks of a size or larger, each node has whole slots of that size: each replica needs one. */
    private static boolean tooFewSlots(PlacementModel model) {
        long[] sizesMb = Arrays.stream(model.sizeMb).distinct().sorted().toArray();
        long[] replicas = new long[sizesMb.length];
        for (int block = 0; block < model.sizeMb.length; block++) {
            replicas[Arrays.binarySearch(sizesMb, model.sizeMb[block])] += model.initialHolders[block].length;
        }
        long needed = 0;
        for (int size = sizesMb.length - 1; size >= 0; size--) {
            needed += replicas[size];
            if (needed > slots(model, sizesMb[size])) {
                return true;
            }
        }
        return false;
    }

    private static long slots(PlacementModel model, long sizeMb) {
        long slots = 0;
        for (int node = 0; node < model.nodes(); node++) {
            if (!model.draining[node]) {
                slots += model.capacityMb[node] / sizeMb;
            }
        }
        return slots;
    }
}
