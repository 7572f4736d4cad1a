package wallmoor.endpoints;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The eligible endpoints of each cell by tier (an SRV priority, RFC 2782). The lowest tier that has any serves the
 * cell; the others are on standby. The index also records which cells a review changed, to find those that another
 * tier serves afterwards.
 */
final class TierIndex {
    /** The serving tier of a cell that has no eligible endpoint. */
    private static final int NO_TIER = Integer.MAX_VALUE;

    private final Map<Integer, TreeMap<Integer, Set<String>>> idsByCellAndTier = new HashMap<>();
    /** The previous serving tier of each cell that changed since the last {@link #takeSwitchedCells}. */
    private final Map<Integer, Integer> previousTierByCell = new LinkedHashMap<>();

    /** Returns the tier that serves the cell now. */
    int servingTier(int cell) {
        TreeMap<Integer, Set<String>> tiers = idsByCellAndTier.get(cell);
        return tiers == null ? NO_TIER : tiers.firstKey();
    }

    void add(String id, int cell, int tier) {
        previousTierByCell.putIfAbsent(cell, servingTier(cell));
        idsByCellAndTier.computeIfAbsent(cell, c -> new TreeMap<>())
                .computeIfAbsent(tier, t -> new LinkedHashSet<>()).add(id);
    }

    void remove(String id, int cell, int tier) {
        previousTierByCell.putIfAbsent(cell, servingTier(cell));
        TreeMap<Integer, Set<String>> tiers = idsByCellAndTier.get(cell);
        Set<String> ids = tiers.get(tier);
        ids.remove(id);
        if (ids.isEmpty()) {
            tiers.remove(tier);
        }
        if (tiers.isEmpty()) {
            idsByCellAndTier.remove(cell);
        }
    }

    /** Adds to {@code ids} all eligible endpoints of the cells whose serving tier has changed since the last call. */
    void takeSwitchedCells(Collection<String> ids) {
        for (Map.Entry<Integer, Integer> cell : previousTierByCell.entrySet()) {
            if (servingTier(cell.getKey()) != cell.getValue()) {
                for (Set<String> tier : idsByCellAndTier.getOrDefault(cell.getKey(), new TreeMap<>()).values()) {
                    ids.addAll(tier);
                }
            }
        }
        previousTierByCell.clear();
    }
}
