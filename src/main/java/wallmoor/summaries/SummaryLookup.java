package wallmoor.summaries;

import java.util.BitSet;
import java.util.Map;

/** One query looked up in a {@link SummaryCache}. Valid until the cache's next change. */
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
        this.matching = index.could(conditions);
        this.excluded = (BitSet) index.filled().clone();
        this.excluded.andNot(matching);
    }

    /** The site's summary where it is leased and excludes every row of the query; else null. */
    Summary excluding(Site site) {
        CachedSummary entry = entries.get(site);
        return entry == null || !excluded.get(entry.slot) ? null : index.at(entry.slot);
    }

    /** Whether the site can hold a matching row, with the reason. */
    public MatchResult match(Site site) {
        CachedSummary entry = entries.get(site);
        if (entry == null || index.at(entry.slot) == null) {
            return MatchResult.unknown(entry != null && entry.distrusted ? "its summary excluded rows that it had"
                    : "no promise of its counts now");
        }
        return index.at(entry.slot).match(conditions);
    }

    /** How many sites with a leased summary can be pruned. */
    public int excluded() {
        return excluded.cardinality();
    }

    /** How many sites have a leased summary that admits a match. */
    public int admitted() {
        return matching.cardinality();
    }
}
