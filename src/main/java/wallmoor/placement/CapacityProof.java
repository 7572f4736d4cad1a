package wallmoor.placement;

import java.util.Arrays;

/**
 * Quick proofs by counting that a problem is infeasible. Each computes what a subset of the nodes would have to hold in
 * the final placement, whatever the moves were. A group is a cell, or a single node if the failure domain is the node.
 */
final class CapacityProof {
    private CapacityProof() {}

    /** Returns whether it is proven that no final placement satisfies the constraints. False proves nothing. */
    static boolean isProvenInfeasible(PlacementModel model) {
        return hasUnplaceableBlock(model) || hasOverloadedGroups(model) || hasTooFewSlots(model);
    }

    /**
     * Returns whether some block finds fewer groups than it needs that have a node large enough for it: one for each
     * replica, or a single one if the block has no spread constraint.
     */
    private static boolean hasUnplaceableBlock(PlacementModel model) {
        long[] largestNodeMb = new long[model.groups];
        for (int node = 0; node < model.nodeCount(); node++) {
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
     * Returns whether, for some m, the m groups of the least capacity can't hold what they must. A group holds at most
     * one replica of a block, so of k replicas at least k less the number of other groups fall to these m groups.
     */
    private static boolean hasOverloadedGroups(PlacementModel model) {
        long[] requiredMb = requiredOfGroupsMb(model);
        long[] ascendingMb = groupCapacityMb(model);
        Arrays.sort(ascendingMb);
        long capacityMb = 0;
        for (int m = 1; m <= model.groups; m++) {
            capacityMb += ascendingMb[m - 1];
            if (requiredMb[m] > capacityMb) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns, at index m, the megabytes that any m groups must hold at least. A block of k replicas adds nothing
     * unless m is above the number of groups less k.
     */
    private static long[] requiredOfGroupsMb(PlacementModel model) {
        long[] requiredMb = new long[model.groups + 1];
        for (int block = 0; block < model.sizeMb.length; block++) {
            int replicas = model.initialHolders[block].length;
            if (model.spread[block]) {
                for (int m = model.groups - replicas + 1; m <= model.groups; m++) {
                    requiredMb[m] += model.sizeMb[block] * (replicas - model.groups + m);
                }
            } else {
                requiredMb[model.groups] += model.sizeMb[block] * replicas;
            }
        }
        return requiredMb;
    }

    private static long[] groupCapacityMb(PlacementModel model) {
        long[] capacityMb = new long[model.groups];
        for (int node = 0; node < model.nodeCount(); node++) {
            if (!model.draining[node]) {
                capacityMb[model.group[node]] += model.capacityMb[node];
            }
        }
        return capacityMb;
    }

    /**
     * Returns whether, for some block size, the replicas of that size or larger outnumber the slots of that size on all
     * nodes. Each of those replicas needs one whole slot.
     */
    private static boolean hasTooFewSlots(PlacementModel model) {
        long[] sizesMb = Arrays.stream(model.sizeMb).distinct().sorted().toArray();
        long[] replicas = new long[sizesMb.length];
        for (int block = 0; block < model.sizeMb.length; block++) {
            replicas[Arrays.binarySearch(sizesMb, model.sizeMb[block])] += model.initialHolders[block].length;
        }
        long needed = 0;
        for (int size = sizesMb.length - 1; size >= 0; size--) {
            needed += replicas[size];
            if (needed > slotCount(model, sizesMb[size])) {
                return true;
            }
        }
        return false;
    }

    private static long slotCount(PlacementModel model, long sizeMb) {
        long slots = 0;
        for (int node = 0; node < model.nodeCount(); node++) {
            if (!model.draining[node]) {
                slots += model.capacityMb[node] / sizeMb;
            }
        }
        return slots;
    }
}
