package wallmoor.migration;

/** Where a move is. Each change is a version of the document {@code plan}. */
public enum MigrationStage {
    /** Not begun. */
    PLANNED,
    /** The target is asked for room, and keeps it. */
    PREPARE,
    /** The target fetches what it lacks, chunk by chunk. */
    COPY,
    /** The target compares its chunks with the source's, and takes no more of them where they are the same. */
    CONFIRM,
    /** The source refuses what runs once, with proof that it never ran; what it holds then is confirmed again. */
    HAND,
    /** Both are owners. The target is let run what runs once. From here on a move is carried to its end. */
    JOIN,
    /** The target is an owner and the source is none; queries that began before end. */
    SETTLE,
    /** The source drops its copy. */
    FORGET,
    /** Given up before {@link #JOIN}: the target throws away what it has, the source runs again what runs once. */
    BACK;

    /** Whether it may still be taken back: nothing has run on the target, and nobody was told to go there. */
    public boolean isRevocable() {
        return this == PREPARE || this == COPY || this == CONFIRM || this == HAND;
    }
}
