package wallmoor.core;

import java.util.HashSet;
import java.util.Set;

/**
 * The state of the current round of the routing policy: its time, the queries with new steps, and the workers whose
 * idle connections are to be closed. Guarded by the gatherer's lock.
 */
final class RoundState {
    private final Set<Query> queriesWithSteps = new HashSet<>();
    private final Set<String> closeIdleWorkerIds = new HashSet<>();
    private long now;

    /** Returns the time of the round, microseconds on the gatherer's clock. */
    long now() {
        return now;
    }

    /** Advances the time of the round; an earlier time has no effect. */
    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    /** Adds a step to a query, whose thread is woken at the end of the round. */
    void addStep(Query query, Step step) {
        query.steps.add(step);
        queriesWithSteps.add(query);
    }

    /** Requests that idle connections to this worker are closed before the next call to it in this round. */
    void closeIdleBeforeNextSend(String workerId) {
        closeIdleWorkerIds.add(workerId);
    }

    /** Returns whether idle connections to this worker are to be closed before its next call, and resets that. */
    boolean takeCloseIdle(String workerId) {
        return closeIdleWorkerIds.remove(workerId);
    }

    /** Ends the round and wakes the threads of the queries that have new steps. */
    void end() {
        for (Query query : queriesWithSteps) {
            query.stepAvailable.signalAll();
        }
        queriesWithSteps.clear();
        closeIdleWorkerIds.clear();
    }
}
