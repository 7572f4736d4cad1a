package wallmoor.migration;

import java.util.List;

/**
 * Where carrying out stands, for operators.
 *
 * @param version of the plan that acts
 * @param blockedReason   why nothing is planned, or an empty text
 * @param bytesPerSecond    bytes a second that copying may take now
 * @param lastFailure    why the last move was given up, or an empty text
 */
public record MigrationStatus(long version, MigrationPhase phase, List<MigrationProgress> migrations,
        String blockedReason, long bytesPerSecond, String lastFailure) {
    /** What is being done. */
    public enum MigrationPhase {
        UNKNOWN, PLANNING, MOVING, PAUSED, STOPPED, FINISHED, STUCK
    }

    /**
     * A move.
     *
     * @param copiedFraction share of the copy that is there
     * @param waitingFor for what, or an empty text
     */
    public record MigrationProgress(Migration migration, double copiedFraction, String waitingFor) {}

    public MigrationStatus {
        migrations = List.copyOf(migrations);
    }
}
