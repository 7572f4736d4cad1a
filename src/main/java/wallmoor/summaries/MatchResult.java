package wallmoor.summaries;

/**
 * Whether a site can hold a row that a query asks for.
 *
 * @param kind    which
 * @param reason why, for people
 */
public record MatchResult(MatchKind kind, String reason) {
    /** All but {@link #CANNOT} is asked. */
    public enum MatchKind {
        /** Its summary admits a match. */
        COULD_MATCH,
        /** Its summary excludes every row, and the site's promise on it is alive. */
        CANNOT,
        /** Nothing counts that was told of it. */
        UNKNOWN
    }

    static MatchResult couldMatch() {
        return new MatchResult(MatchKind.COULD_MATCH, "its summary admits a match");
    }

    static MatchResult unknown(String because) {
        return new MatchResult(MatchKind.UNKNOWN, because);
    }
}
