package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A part of a query (a piece, in the paper), with its attempts. */
final class TrackedPart {
    final String id;
    final TrackedQuery query;
    final int shard;
    /** The part's share of the query's answer. */
    final double weight;
    /** The part's expected work, relative to a mean part. */
    final double workScale;
    /** The number of attempts sent so far. */
    int attemptCount;
    boolean answered;
    /** Whether the part takes no further attempt. */
    boolean finished;
    /** Attempts that may have been executed, by number, with the times of their sends, in order. */
    final Map<Integer, Long> possiblyExecuted = new LinkedHashMap<>();
    /** Attempts in flight, by number. */
    final Map<Integer, TrackedAttempt> inFlight = new LinkedHashMap<>();
    /** The workers of all attempts so far. */
    final List<TrackedWorker> triedWorkers = new ArrayList<>();

    TrackedPart(String id, TrackedQuery query, int shard, double weight, double workScale) {
        this.id = id;
        this.query = query;
        this.shard = shard;
        this.weight = weight;
        this.workScale = workScale;
    }

    /** Adds an attempt that is being sent. */
    void recordSent(TrackedAttempt attempt) {
        attemptCount++;
        possiblyExecuted.put(attempt.number, attempt.sentAt);
        inFlight.put(attempt.number, attempt);
        triedWorkers.add(attempt.worker);
        attempt.worker.inFlight.add(attempt);
    }

    boolean mayHaveExecuted() {
        return !possiblyExecuted.isEmpty();
    }

    /** Returns when the first attempt that may have been executed was sent (microseconds). There must be one. */
    long firstPossibleExecution() {
        return possiblyExecuted.values().iterator().next();
    }

    /** Returns whether an attempt is in flight that is neither late nor cancelled. */
    boolean hasTimelyAttempt() {
        for (TrackedAttempt attempt : inFlight.values()) {
            if (!attempt.late && !attempt.cancelled) {
                return true;
            }
        }
        return false;
    }
}
