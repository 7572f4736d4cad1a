package wallmoor.summaries;

/** What operators are to know. */
public sealed interface PruningEvent {
    /** Which site it is about. */
    Site site();

    /** What happened, and what to do. */
    String text();

    /** A site had rows where its summary excluded them. Nothing it tells counts until it is readmitted. */
    record FalseCut(Site site, long epoch, long version, String text) implements PruningEvent {}

    /** What it told can't be read. It is asked. */
    record Unreadable(Site site, UnreadableSummaryException.Fault fault, String text) implements PruningEvent {}

    /** There is no room for its summary. It is asked. */
    record NoRoom(Site site, String text) implements PruningEvent {}
}
