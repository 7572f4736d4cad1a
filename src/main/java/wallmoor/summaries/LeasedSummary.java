package wallmoor.summaries;

/**
 * A site's summary with its lease, as a gatherer has cached it at one moment. Immutable, so that any thread may read
 * it; the lease ends by itself, so a reader compares it with the clock first.
 *
 * @param summary what counts
 * @param since   when the lease was requested, in microseconds
 * @param until   when the lease ends, in microseconds: from then on the summary doesn't count
 */
public record LeasedSummary(Summary summary, long since, long until) {
    /** The summary, where its lease runs at this time and it excludes every row of the query; else null. */
    public Summary excluding(long now, Conditions conditions) {
        return until > now && summary.excludes(conditions) != null ? summary : null;
    }
}
