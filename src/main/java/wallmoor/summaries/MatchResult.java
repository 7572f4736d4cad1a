package wallmoor.summaries;

/**
 * Whether a site can hold a row that matches a query.
 *
 * @param kind   the result
 * @param reason for operators
 */
public record MatchResult(MatchKind kind, String reason) {
    /** A site is queried unless it is {@link #CANNOT}. */
    public enum MatchKind {
        /** Its summary admits a match. */
        COULD_MATCH,
        /** Its summary excludes every row, and the lease on it runs. */
        CANNOT,
        /** No lease on a summary of its runs. */
        UNKNOWN
    }

    static MatchResult couldMatch() {
        return new MatchResult(MatchKind.COULD_MATCH, "its summary admits a match");
    }

    static MatchResult unknown(String because) {
        return new MatchResult(MatchKind.UNKNOWN, because);
    }
}
