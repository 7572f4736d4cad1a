package wallmoor.summaries;

/** An event that operators are notified of. */
public sealed interface PruningEvent {
    /** Returns the site concerned. */
    Site site();

    /** Returns what happened, and what to do. */
    String text();

    /** A site had rows that its summary excluded. Its summaries are not used until it is readmitted. */
    record FalseCut(Site site, long epoch, long version, String text) implements PruningEvent {}

    /** The summary or widening of a site can't be decoded. The site is queried. */
    record Unreadable(Site site, UnreadableSummaryException.Fault fault, String text) implements PruningEvent {}

    /** The cache has no room for the summary of a site. The site is queried. */
    record NoRoom(Site site, String text) implements PruningEvent {}
}
