package wallmoor.summaries;

/**
 * A snapshot of a cached summary with its lease. It is immutable, so that any thread may read it; a reader compares the
 * end of the lease with the clock first.
 *
 * @param summary the summary
 * @param since   the time at which the lease was requested, in microseconds
 * @param until   the end of the lease, in microseconds; the summary is invalid from then on
 */
public record LeasedSummary(Summary summary, long since, long until) {
    /** Returns the summary if its lease runs at {@code now} and it excludes every row of the query, else null. */
    public Summary excluding(long now, Conditions conditions) {
        return until > now && summary.exclusionReason(conditions) != null ? summary : null;
    }
}
