package wallmoor.migration;

import java.util.List;

/**
 * A coordinator's state as operators see it.
 *
 * @param version        version of the active plan
 * @param blockedReason  why nothing can be planned, or empty
 * @param bytesPerSecond present limit of the copy rate
 * @param lastFailure    why the last migration was rolled back, or empty
 */
public record MigrationStatus(long version, MigrationPhase phase, List<MigrationProgress> migrations,
        String blockedReason, long bytesPerSecond, String lastFailure) {
    /** The coordinator's present activity. The names are shown to operators in lower case. */
    public enum MigrationPhase {
        UNKNOWN, PLANNING, MOVING, PAUSED, STOPPED, FINISHED, STUCK
    }

    /**
     * The progress of one migration.
     *
     * @param copiedFraction share of the block that is at the target, 0 to 1
     * @param waitingFor     what the migration waits for, or empty
     */
    public record MigrationProgress(Migration migration, double copiedFraction, String waitingFor) {}

    /** Takes a copy of the list. */
    public MigrationStatus {
        migrations = List.copyOf(migrations);
    }
}
