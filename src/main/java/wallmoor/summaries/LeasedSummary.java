package wallmoor.summaries;

/**
 * What a gatherer holds of a site, at one moment. It is never changed, so that any thread may go by it, and it ends by
 * itself: whoever goes by it looks at the clock first.
 *
 * @param summary what counts
 * @param since   when its promise was asked for, in microseconds
 * @param until   from then on it does not count, whatever else was heard
 */
public record LeasedSummary(Summary summary, long since, long until) {
    /** The summary, where it counts at this time and excludes every row of the query; else null. */
    public Summary excluding(long now, Conditions conditions) {
        return until > now && summary.excludes(conditions) != null ? summary : null;
    }
}
