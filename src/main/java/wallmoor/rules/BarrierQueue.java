package wallmoor.rules;

import java.util.LinkedHashMap;
import java.util.Map;
import wallmoor.rules.LeaseMessage.LeaseRequest;

/**
 * Lease requests that wait for a barrier of the log (a linearizable read, as Raft's read index). At most one barrier
 * runs; requests that come meanwhile wait for the next one, as only a barrier that started after a request came may
 * answer it. Times are microseconds on the leader's monotonic clock.
 */
final class BarrierQueue {
    private Map<HolderProcess, LeaseRequest> waiting = new LinkedHashMap<>();
    private Map<HolderProcess, LeaseRequest> waitingForNext = new LinkedHashMap<>();
    private long token;
    private boolean running;
    private long startedAt;

    /** Adds a request; an earlier one of the same process that is not yet waiting for a running barrier is replaced. */
    void add(LeaseRequest request) {
        waitingForNext.put(HolderProcess.of(request), request);
    }

    /** Drops all requests; a running barrier goes on, and answers nothing. */
    void clear() {
        waiting.clear();
        waitingForNext.clear();
    }

    /** Marks the next barrier as running if requests wait for it and none runs. */
    boolean start(long now) {
        if (running || waitingForNext.isEmpty()) {
            return false;
        }
        waiting.putAll(waitingForNext);
        waitingForNext = new LinkedHashMap<>();
        running = true;
        startedAt = now;
        token++;
        return true;
    }

    /** Marks the barrier of this token as ended; false if it does not run. */
    boolean finish(long ofToken) {
        if (!running || ofToken != token) {
            return false;
        }
        running = false;
        return true;
    }

    /** Returns the requests that waited for the barrier which ended, and forgets them. */
    Map<HolderProcess, LeaseRequest> takeWaiting() {
        Map<HolderProcess, LeaseRequest> taken = waiting;
        waiting = new LinkedHashMap<>();
        return taken;
    }

    /** Returns the token of the barrier that was started last. */
    long token() {
        return token;
    }

    /** Returns when the barrier that was started last began. */
    long startedAt() {
        return startedAt;
    }
}
