package wallmoor.migration;

import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * Carries out one stage of one migration: at most one outstanding request, retries, and rollback after a fault. It
 * remembers nothing that the plan or a node would not say again, so after a crash the next leader makes it anew.
 */
final class MigrationTask {
    /** Copies that may differ from the source before the target, or the way to it, is taken to corrupt data. */
    static final int MAX_COPY_ROUNDS = 8;
    /** Value of {@link #outstandingRequest} where none is outstanding: ids begin at 1. */
    private static final long NO_REQUEST = 0;
    private static final long NOT_SILENT = Long.MAX_VALUE;

    /** A request and the node that it is for. */
    record NextRequest(String node, ReplicaRequest request) {}

    final Migration migration;
    final MigrationSettings settings;
    /** What the migration waits for, as operators see it; empty where for nothing. */
    String waitingFor = "";

    private final StageProtocol protocol;
    private long outstandingRequest = NO_REQUEST;
    private long notBefore = Long.MIN_VALUE;
    private long silentSince = NOT_SILENT;
    private NextRequest requested;
    private Migration successor;
    private boolean complete;

    MigrationTask(Migration migration, MigrationSettings settings, long now) {
        this.migration = migration;
        this.settings = settings;
        this.protocol = StageProtocol.of(this, now);
    }

    /** What the migration is to become in the next version of the plan; null while that is open. */
    Migration successor() {
        return successor;
    }

    /** Whether the migration is to leave the plan: it is completed, or rolled back. */
    boolean isComplete() {
        return complete;
    }

    /** The request that was sent last. */
    NextRequest requested() {
        return requested;
    }

    /** Share of the block that is at the target, as far as it is known. */
    double copiedFraction() {
        return protocol.copiedFraction();
    }

    /** The request to send now; null where there is none. */
    NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
        if (outstandingRequest != NO_REQUEST || now < notBefore || successor != null || complete) {
            return null;
        }
        requested = protocol.nextRequest(now, plan, limiter, targetLimitMb);
        return requested;
    }

    /** The request was sent under this id. */
    void onSent(long requestId) {
        outstandingRequest = requestId;
    }

    boolean isOutstanding(long requestId) {
        return outstandingRequest == requestId;
    }

    /** The node did not respond, or could not do what was requested. */
    void onFailure(long now, String reason) {
        outstandingRequest = NO_REQUEST;
        notBefore = now + settings.retryMicros();
        waitingFor = requested.node() + ": " + reason;
        silentSince = Math.min(silentSince, now);
        protocol.onFailure();
        if (migration.stage().isRevocable() && now - silentSince >= settings.silenceTimeoutMicros()) {
            rollBack(waitingFor);
        }
    }

    /** @param targetLimitMb megabytes that the target node may hold in total */
    void onResponse(long now, ReplicaResponse response, long targetLimitMb) {
        outstandingRequest = NO_REQUEST;
        waitingFor = "";
        if (response.code() == ResponseCode.OLD) { // another leader has proceeded: its version will arrive
            notBefore = now + settings.retryMicros();
            waitingFor = "a newer version is out";
        } else if (response.code() == ResponseCode.NO_SOURCE) {
            onFailure(now, "does not get it from " + migration.from());
        } else {
            silentSince = NOT_SILENT;
            onAnswer(now, response, targetLimitMb);
        }
    }

    private void onAnswer(long now, ReplicaResponse response, long targetLimitMb) {
        boolean revocable = migration.stage().isRevocable();
        if (revocable && requested.node().equals(migration.to()) && lacksSpace(response, targetLimitMb)) {
            rollBack(migration.to() + " has no room any more");
        } else if (revocable && response.code() == ResponseCode.WRONG) {
            rollBack(requested.node() + " holds " + response.replica().state() + " where "
                    + requested.request().operation() + " was asked");
        } else {
            protocol.onResponse(now, response);
        }
    }

    private static boolean lacksSpace(ReplicaResponse response, long limitMb) {
        return response.code() == ResponseCode.NO_ROOM
                || (response.replica().state() != ReplicaState.ABSENT && !response.space().fits(0, limitMb));
    }

    /** This stage is done. */
    void advanceTo(MigrationStage next) {
        successor = migration.withStage(next);
    }

    /** The copy differs from the source: its differing chunks are copied again, unless that happened too often. */
    void copyAgain() {
        if (migration.copyRounds() + 1 >= MAX_COPY_ROUNDS) {
            rollBack("what " + migration.to() + " has was another one " + MAX_COPY_ROUNDS + " times");
        } else {
            successor = migration.copyingAgain();
        }
    }

    void rollBack(String reason) {
        waitingFor = reason;
        successor = migration.withStage(MigrationStage.BACK);
    }

    /** Nothing is left to do. */
    void complete() {
        complete = true;
    }

    /** The stage cannot proceed: its requests are sent once more after a delay, from the first. */
    void startOver(long now, String reason) {
        protocol.step = 0;
        waitingFor = reason;
        notBefore = now + settings.retryMicros();
    }
}
