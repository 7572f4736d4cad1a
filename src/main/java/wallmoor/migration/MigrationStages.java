package wallmoor.migration;

import java.util.List;
import wallmoor.migration.MigrationTask.NextRequest;
import wallmoor.migration.ReplicaRecord.ReplicaState;

/** A {@link StageProtocol} for each {@link MigrationStage}. */
final class MigrationStages {
    private MigrationStages() {}

    /** Sends no requests: the coordinator has not begun the migration. */
    static final class Planned extends StageProtocol {
        Planned(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            return null;
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            // nothing was requested
        }
    }

    /** Reads the block's size at the source, then reserves space at the target. */
    static final class Prepare extends StageProtocol {
        Prepare(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            return step == 0 ? toSource(new ReplicaRequest.ReadReplica())
                    : toTarget(new ReplicaRequest.ReserveSpace(sizeBytes, requestedChunkBytes(), migration.sizeMb(),
                            targetLimitMb));
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            if (step == 1) {
                task.advanceTo(MigrationStage.COPY);
            } else if (response.replica().state() != ReplicaState.OWNER) {
                task.rollBack(migration.from() + " does not hold it");
            } else {
                sizeBytes = response.replica().sizeBytes();
                step = 1;
            }
        }
    }

    /**
     * Has the target fetch its missing chunks one by one, within the rate limit; {@code step} is the chunk's index plus
     * 1.
     */
    static final class Copy extends StageProtocol {
        Copy(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            if (step == 0) {
                return toTarget(new ReplicaRequest.ReadReplica());
            }
            if (plan.paused() && !migration.fenced()) {
                task.waitingFor = "paused";
                return null;
            }
            return limiter.tryAcquire(now, chunkBytes)
                    ? toTarget(new ReplicaRequest.FetchChunk(migration.from(), step - 1, targetLimitMb)) : null;
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            ReplicaRecord copy = response.replica();
            if (!readCopy(copy)) {
                return;
            }
            if (copy.missingChunks().isEmpty()) {
                task.advanceTo(migration.fenced() ? MigrationStage.HAND : MigrationStage.CONFIRM);
            } else {
                step = copy.missingChunks().first() + 1;
            }
        }
    }

    /**
     * Reads the copy's chunk size, has the source compute its checksums (fencing it first at {@link
     * MigrationStage#HAND}), and has the target seal its copy by them.
     */
    static final class Verify extends StageProtocol {
        private List<String> checksums = List.of();

        Verify(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            if (step == 0) {
                return toTarget(new ReplicaRequest.ReadReplica());
            }
            if (step == 1) {
                return toSource(migration.stage() == MigrationStage.HAND
                        ? new ReplicaRequest.Fence(requestedChunkBytes())
                        : new ReplicaRequest.ComputeChecksums(requestedChunkBytes()));
            }
            return toTarget(new ReplicaRequest.Seal(checksums));
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            if (step == 0) {
                if (readCopy(response.replica())) {
                    step = 1;
                }
            } else if (step == 1) {
                checksums = response.checksums();
                step = 2;
            } else if (response.replica().state() == ReplicaState.SEALED) {
                task.advanceTo(migration.stage() == MigrationStage.HAND ? MigrationStage.JOIN : MigrationStage.HAND);
            } else {
                task.copyAgain();
            }
        }
    }

    /** Makes the target an owner. */
    static final class Join extends StageProtocol {
        Join(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            return toTarget(new ReplicaRequest.TakeOwnership());
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            if (response.replica().state() == ReplicaState.OWNER) {
                task.advanceTo(MigrationStage.SETTLE);
            } else {
                task.startOver(now, migration.to() + " lost its copy; bring its disk back");
            }
        }
    }

    /** Waits until no query can be routed to the source any more. */
    static final class Settle extends StageProtocol {
        private final long beganAt;

        Settle(MigrationTask task, long now) {
            super(task);
            beganAt = now;
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            if (now - beganAt >= task.settings.settleMicros()) {
                task.advanceTo(MigrationStage.FORGET);
            }
            task.waitingFor = "for queries that began before";
            return null;
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            // nothing was requested
        }
    }

    /** Checks that the target still owns a complete replica, then has the source drop its own. */
    static final class Forget extends StageProtocol {
        Forget(MigrationTask task) {
            super(task);
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            return step == 0 ? toTarget(new ReplicaRequest.ReadReplica()) : toSource(new ReplicaRequest.DropReplica());
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            ReplicaState state = response.replica().state();
            if (step == 0 && state == ReplicaState.OWNER) {
                step = 1;
            } else if (step == 1 && state == ReplicaState.ABSENT) {
                task.complete();
            } else {
                task.startOver(now, (step == 0 ? migration.to() : migration.from()) + " holds " + state
                        + "; nothing is dropped until " + migration.to() + " owns a whole copy");
            }
        }
    }

    /** Unfences the source and discards the target's copy, alternately: a failure of one does not block the other. */
    static final class RollBack extends StageProtocol {
        private boolean unfenced;
        private boolean discarded;

        RollBack(MigrationTask task) {
            super(task);
            unfenced = !migration.fenced();
        }

        @Override
        NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
            // an operator removes only lost nodes from the placement target: they need no request
            unfenced |= !plan.target().hasNode(migration.from());
            discarded |= !plan.target().hasNode(migration.to());
            if (unfenced && discarded) {
                task.complete();
                return null;
            }
            return !unfenced && (step % 2 == 0 || discarded) ? toSource(new ReplicaRequest.Unfence())
                    : toTarget(new ReplicaRequest.DiscardCopy());
        }

        @Override
        void onResponse(long now, ReplicaResponse response) {
            if (task.lastRequest().request() instanceof ReplicaRequest.Unfence) {
                unfenced = true;
            } else {
                discarded = true;
            }
            step++;
            if (unfenced && discarded) {
                task.complete();
            }
        }

        @Override
        void onFailure() {
            step++;
        }
    }
}
