package wallmoor.summaries;

/**
 * The result of matching a query against the summary of a site.
 *
 * @param kind   whether the site can have a matching row
 * @param reason explanation for operators
 */
public record MatchResult(MatchKind kind, String reason) {
    /** Whether a site can have a matching row. It is queried unless the result is {@link #CANNOT}. */
    public enum MatchKind {
        /** The summary admits a match. */
        COULD_MATCH,
        /** The summary excludes every row, and its lease runs. */
        CANNOT,
        /** No lease on a summary of the site runs, or the summary does not cover a property of the query. */
        UNKNOWN
    }

    static MatchResult couldMatch() {
        return new MatchResult(MatchKind.COULD_MATCH, "its summary admits a match");
    }

    static MatchResult unknown(String reason) {
        return new MatchResult(MatchKind.UNKNOWN, reason);
    }
}
