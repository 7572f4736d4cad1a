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
 * cell; the others are on standby. It notes which cells a review touched, to find those that another tier now serves.
 */
final class TierIndex {
    /** The tier that serves a cell without any eligible endpoint. */
    private static final int NO_TIER = Integer.MAX_VALUE;

    private final Map<Integer, TreeMap<Integer, Set<String>>> idsByCellAndTier = new HashMap<>();
    /** Of the cells touched since the last call of {@link #takeSwitchedCells}, the tier that served them before. */
    private final Map<Integer, Integer> tierBefore = new LinkedHashMap<>();

    /** The tier that serves a cell now. */
    int servingTier(int cell) {
        TreeMap<Integer, Set<String>> tiers = idsByCellAndTier.get(cell);
        return tiers == null ? NO_TIER : tiers.firstKey();
    }

    void add(String id, int cell, int tier) {
        tierBefore.putIfAbsent(cell, servingTier(cell));
        idsByCellAndTier.computeIfAbsent(cell, c -> new TreeMap<>())
                .computeIfAbsent(tier, t -> new LinkedHashSet<>()).add(id);
    }

    void remove(String id, int cell, int tier) {
        tierBefore.putIfAbsent(cell, servingTier(cell));
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

    /** Adds all eligible endpoints of the cells that another tier serves since the last call: it bears on them. */
    void takeSwitchedCells(Collection<String> ids) {
        for (Map.Entry<Integer, Integer> cell : tierBefore.entrySet()) {
            if (servingTier(cell.getKey()) != cell.getValue()) {
                for (Set<String> tier : idsByCellAndTier.getOrDefault(cell.getKey(), new TreeMap<>()).values()) {
                    ids.addAll(tier);
                }
            }
        }
        tierBefore.clear();
    }
}
