package wallmoor.summaries;

import java.util.BitSet;
import java.util.Map;

/** The result of looking up one query in a {@link SummaryCache}. Valid until the next change of the cache. */
public final class SummaryLookup {
    private final Conditions conditions;
    private final Map<Site, CachedSummary> entries;
    private final SummaryIndex index;
    private final BitSet matching;
    private final BitSet excluded;

    SummaryLookup(Conditions conditions, Map<Site, CachedSummary> entries, SummaryIndex index) {
        this.conditions = conditions;
        this.entries = entries;
        this.index = index;
        this.matching = index.matchingSlots(conditions);
        this.excluded = (BitSet) index.occupiedSlots().clone();
        this.excluded.andNot(matching);
    }

    /** Returns the site's summary if it is leased and excludes every row of the query, else null. */
    Summary excluding(Site site) {
        CachedSummary entry = entries.get(site);
        return entry == null || !excluded.get(entry.slot) ? null : index.get(entry.slot);
    }

    /** Returns whether the site can have a matching row, with the reason. */
    public MatchResult match(Site site) {
        CachedSummary entry = entries.get(site);
        if (entry == null || index.get(entry.slot) == null) {
            return MatchResult.unknown(entry != null && entry.distrusted ? "its summary excluded rows that it had"
                    : "no promise of its counts now");
        }
        return index.get(entry.slot).match(conditions);
    }

    /** Returns the number of sites that can be pruned by a leased summary. */
    public int excluded() {
        return excluded.cardinality();
    }

    /** Returns the number of sites whose leased summary admits a match. */
    public int admitted() {
        return matching.cardinality();
    }
}
