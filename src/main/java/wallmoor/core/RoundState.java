package wallmoor.core;

import java.util.HashSet;
import java.util.Set;

/**
 * What a round of the routing policy has so far: its time, the queries that got steps, and the workers whose idle
 * connections are to be closed. Guarded by the gatherer's lock.
 */
final class RoundState {
    private final Set<Query> queriesWithSteps = new HashSet<>();
    private final Set<String> closeIdleWorkerIds = new HashSet<>();
    private long now;

    /** The time of the round, microseconds on the gatherer's clock. */
    long now() {
        return now;
    }

    /** Sets the time of the round, never back. */
    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    /** Adds a step to a query, whose thread is woken at the end of the round. */
    void addStep(Query query, Step step) {
        query.steps.add(step);
        queriesWithSteps.add(query);
    }

    /** Idle connections to this worker are to be closed before the next call to it in this round. */
    void closeIdleBeforeNextSend(String workerId) {
        closeIdleWorkerIds.add(workerId);
    }

    /** Whether idle connections are to be closed before the call to this worker that is being made now. */
    boolean takeCloseIdle(String workerId) {
        return closeIdleWorkerIds.remove(workerId);
    }

    /** Ends the round: wakes the threads of the queries that got steps. */
    void end() {
        for (Query query : queriesWithSteps) {
            query.stepAvailable.signalAll();
        }
        queriesWithSteps.clear();
        closeIdleWorkerIds.clear();
    }
}
