package wallmoor.migration;

import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * Carries out one stage of one migration: at most one outstanding request, retries, and rollback after a fault. Its
 * state can be derived from the plan and the nodes' records, so the next leader recreates it after a crash.
 */
final class MigrationTask {
    /**
     * Number of copies found to differ from the source after which the migration is rolled back: the target, or the
     * network path to it, then counts as corrupting data.
     */
    static final int MAX_COPY_ROUNDS = 8;
    /** Value of {@link #outstandingRequest} where none is outstanding: ids begin at 1. */
    private static final long NO_REQUEST = 0;
    private static final long NOT_SILENT = Long.MAX_VALUE;

    /** A request and the node that it is for. */
    record NextRequest(String node, ReplicaRequest request) {}

    final Migration migration;
    final MigrationSettings settings;
    /** What the migration waits for, as shown to operators; empty where it waits for nothing. */
    String waitingFor = "";

    private final StageProtocol protocol;
    private long outstandingRequest = NO_REQUEST;
    private long notBefore = Long.MIN_VALUE;
    private long silentSince = NOT_SILENT;
    private NextRequest lastRequest;
    private Migration successor;
    private boolean complete;

    MigrationTask(Migration migration, MigrationSettings settings, long now) {
        this.migration = migration;
        this.settings = settings;
        this.protocol = StageProtocol.of(this, now);
    }

    /** Returns the migration as proposed for the next version of the plan; null while the stage is in progress. */
    Migration successor() {
        return successor;
    }

    /** Returns whether the migration is to be removed from the plan: it is completed, or rolled back. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the latest request. */
    NextRequest lastRequest() {
        return lastRequest;
    }

    /** Returns the fraction of the block that the target has, 0 to 1; 0 while unknown. */
    double copiedFraction() {
        return protocol.copiedFraction();
    }

    /** Returns the request to send now; null where there is none. */
    NextRequest nextRequest(long now, MigrationPlan plan, CopyRateLimiter limiter, long targetLimitMb) {
        if (outstandingRequest != NO_REQUEST || now < notBefore || successor != null || complete) {
            return null;
        }
        lastRequest = protocol.nextRequest(now, plan, limiter, targetLimitMb);
        return lastRequest;
    }

    /** Records the id under which the latest request was sent. */
    void onSent(long requestId) {
        outstandingRequest = requestId;
    }

    boolean isOutstanding(long requestId) {
        return outstandingRequest == requestId;
    }

    /** Handles a request whose node did not respond, or could not carry it out. */
    void onFailure(long now, String reason) {
        outstandingRequest = NO_REQUEST;
        notBefore = now + settings.retryMicros();
        waitingFor = lastRequest.node() + ": " + reason;
        silentSince = Math.min(silentSince, now);
        protocol.onFailure();
        if (migration.stage().isRevocable() && now - silentSince >= settings.silenceTimeoutMicros()) {
            rollBack(waitingFor);
        }
    }

    /**
     * Handles the response to the outstanding request.
     *
     * @param targetLimitMb megabytes that the target node may store in total
     */
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
            onCurrentResponse(now, response, targetLimitMb);
        }
    }

    private void onCurrentResponse(long now, ReplicaResponse response, long targetLimitMb) {
        boolean revocable = migration.stage().isRevocable();
        if (revocable && lastRequest.node().equals(migration.to()) && lacksSpace(response, targetLimitMb)) {
            rollBack(migration.to() + " has no room any more");
        } else if (revocable && response.code() == ResponseCode.WRONG) {
            rollBack(lastRequest.node() + " holds " + response.replica().state() + " where "
                    + lastRequest.request().operation() + " was asked");
        } else {
            protocol.onResponse(now, response);
        }
    }

    private static boolean lacksSpace(ReplicaResponse response, long limitMb) {
        return response.code() == ResponseCode.NO_ROOM
                || (response.replica().state() != ReplicaState.ABSENT && !response.space().fits(0, limitMb));
    }

    /** Ends this stage; the migration proceeds to the next one in the next version of the plan. */
    void advanceTo(MigrationStage next) {
        successor = migration.withStage(next);
    }

    /**
     * Has the chunks that differ from the source copied again; rolls back at the {@link #MAX_COPY_ROUNDS}th copy that
     * differs.
     */
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

    /** Marks the migration as ended, to be removed from the plan. */
    void complete() {
        complete = true;
    }

    /** Restarts the stage from its first request after a delay, because it cannot proceed. */
    void startOver(long now, String reason) {
        protocol.step = 0;
        waitingFor = reason;
        notBefore = now + settings.retryMicros();
    }
}
