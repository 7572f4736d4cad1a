package wallmoor.migration;

import wallmoor.migration.MigrationTask.NextRequest;
import wallmoor.migration.ReplicaRecord.ReplicaState;

/**
 * The sequence of requests of one stage of a migration, and the handling of their responses. It reports results to its
 * {@link MigrationTask}, which owns retries, timeouts and rollback.
 */
abstract class StageProtocol {
    final MigrationTask task;
    final Migration migration;
    /** Index of the next request; each stage has its own sequence. */
    int step;
    /** Size of the complete block; 0 while unknown. */
    long sizeBytes;
    /** Chunk size of the target's copy; 0 while unknown. */
    long chunkBytes;
    /** Number of chunks that the target lacks; -1 while unknown. */
    int missingChunks = -1;

    StageProtocol(MigrationTask task) {
        this.task = task;
        this.migration = task.migration;
    }

    /** Creates the protocol of the stage that the task's migration is at. */
    static StageProtocol of(MigrationTask task, long now) {
        return switch (task.migration.stage()) {
            case PLANNED -> new MigrationStages.Planned(task);
            case PREPARE -> new MigrationStages.Prepare(task);
            case COPY -> new MigrationStages.Copy(task);
            case CONFIRM, HAND -> new MigrationStages.Verify(task);
            case JOIN -> new MigrationStages.Join(task);
            case SETTLE -> new MigrationStages.Settle(task, now);
            case FORGET -> new MigrationStages.Forget(task);
            case BACK -> new MigrationStages.RollBack(task);
        };
    }

    /**
     * Returns the next request; null where there is none to send now.
     *
     * @param targetLimitMb megabytes that the target node may store in total
     */
    abstract NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb);

    /** Handles a response that is neither stale nor a failure. */
    abstract void onResponse(long now, ReplicaResponse response);

    /** Handles a request whose node did not respond, or could not carry it out. */
    void onFailure() {}

    NextRequest toSource(ReplicaRequest request) {
        return new NextRequest(migration.from(), request);
    }

    NextRequest toTarget(ReplicaRequest request) {
        return new NextRequest(migration.to(), request);
    }

    /** Returns the chunk size to request: the copy's own, or the configured one, larger for a very large block. */
    int requestedChunkBytes() {
        long preferred = chunkBytes > 0 ? chunkBytes : task.settings.chunkBytes();
        return (int) Math.max(preferred,
                (sizeBytes + ReplicaStateMachine.MAX_CHUNKS - 1) / ReplicaStateMachine.MAX_CHUNKS);
    }

    /**
     * Records the size and the missing chunks of the target's copy. Where the target has no copy, rolls back and
     * returns false.
     */
    boolean readCopy(ReplicaRecord copy) {
        sizeBytes = copy.sizeBytes();
        chunkBytes = copy.chunkBytes();
        missingChunks = copy.missingChunks().size();
        if (copy.state() == ReplicaState.ABSENT) {
            task.rollBack(migration.to() + " lost its copy");
            return false;
        }
        return true;
    }

    /** Returns the fraction of the block that the target has, 0 to 1; 0 while unknown. */
    double copiedFraction() {
        return sizeBytes == 0 ? 0 : 1 - Math.min(1, (double) missingChunks * chunkBytes / sizeBytes);
    }
}
