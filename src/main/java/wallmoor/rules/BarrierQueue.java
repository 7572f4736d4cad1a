package wallmoor.rules;

import java.util.LinkedHashMap;
import java.util.Map;
import wallmoor.rules.LeaseMessage.LeaseRequest;

/**
 * Queue of lease requests that wait for a barrier of the log (a linearizable read, as Raft's read index). At most one
 * barrier runs at a time. Requests that arrive while it runs wait for the next one, as a request may only be answered
 * after a barrier that started later than its arrival. Times are microseconds on the leader's monotonic clock.
 */
final class BarrierQueue {
    private Map<HolderProcess, LeaseRequest> waiting = new LinkedHashMap<>();
    private Map<HolderProcess, LeaseRequest> waitingForNext = new LinkedHashMap<>();
    private long token;
    private boolean isRunning;
    private long startedAt;

    /**
     * Adds a request for the next barrier. It replaces an earlier request of the same process that waits for the next
     * barrier too.
     */
    void add(LeaseRequest request) {
        waitingForNext.put(HolderProcess.of(request), request);
    }

    /** Removes all requests. A running barrier continues, but no request is answered when it ends. */
    void clear() {
        waiting.clear();
        waitingForNext.clear();
    }

    /**
     * Marks the next barrier as running if requests wait for it and no barrier runs.
     *
     * @return whether a barrier is to be started
     */
    boolean start(long now) {
        if (isRunning || waitingForNext.isEmpty()) {
            return false;
        }
        waiting.putAll(waitingForNext);
        waitingForNext = new LinkedHashMap<>();
        isRunning = true;
        startedAt = now;
        token++;
        return true;
    }

    /** Marks the barrier with this token as ended. Returns false if that barrier is not running. */
    boolean finish(long barrierToken) {
        if (!isRunning || barrierToken != token) {
            return false;
        }
        isRunning = false;
        return true;
    }

    /** Removes and returns the requests that waited for the last barrier. */
    Map<HolderProcess, LeaseRequest> takeWaiting() {
        Map<HolderProcess, LeaseRequest> taken = waiting;
        waiting = new LinkedHashMap<>();
        return taken;
    }

    /** Returns the token of the barrier that started last. */
    long token() {
        return token;
    }

    /** Returns the time at which the last barrier started. */
    long startedAt() {
        return startedAt;
    }
}
