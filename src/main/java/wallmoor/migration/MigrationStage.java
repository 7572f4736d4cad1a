package wallmoor.migration;

/**
 * A stage of a migration. Each transition is a version of the document {@code plan}, in which the names are stored in
 * lower case.
 */
public enum MigrationStage {
    /** Not begun. */
    PLANNED,
    /** The target reserves disk space. */
    PREPARE,
    /** The target fetches the chunks that it lacks. */
    COPY,
    /** The target compares its chunks with the source's checksums, and seals its copy if they are equal. */
    CONFIRM,
    /** The source is fenced: it rejects non-idempotent parts. Its final content is compared once more. */
    HAND,
    /** Source and target are owners; the target is requested to take ownership. From here on there is no rollback. */
    JOIN,
    /** The target is an owner, the source is not; queries that were opened before may still read the source. */
    SETTLE,
    /** The source drops its replica. */
    FORGET,
    /** Rolled back before {@link #JOIN}: the target discards its copy, the source is unfenced. */
    BACK;

    /** Returns whether a rollback is still possible: no query was routed to the target, and no part ran there. */
    public boolean isRevocable() {
        return this == PREPARE || this == COPY || this == CONFIRM || this == HAND;
    }
}
