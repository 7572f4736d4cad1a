package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** A query (a job, in the paper) from its arrival to its final answer. Times are microseconds. */
final class TrackedQuery {
    final QueryArrived arrival;
    /**
     * The index of the query's class in the settings; an invalid index in the arrival is replaced by the nearest valid
     * one.
     */
    final int classIndex;
    /** The query's class as it was when the query arrived. */
    final QueryClass queryClass;
    final long arrivedAt;
    /** When the client gives up, or earlier where this gatherer ends before. */
    long deadline;
    /** When the client sent its first attempt, as far as known. */
    final long clientStartedAt;
    /** The factor on the class's priority weight: below 1 if the tenant is over its quota or the query arrived late. */
    final double weightFactor;
    /** The parts of the current phase. */
    List<TrackedPart> parts = new ArrayList<>();
    /** The number of parts of the current phase. */
    int expectedParts;
    /** The current phase: 1, or 2 once the first phase has been answered and the class has a second one. */
    int phase = 1;
    /** Whether the parts of the current phase have been sent. */
    boolean started;
    boolean firstPhaseComplete;
    /** Whether the parts answered so far are enough, whatever their weight. */
    boolean decided;
    /**
     * Whether a single part was sent as a canary and the others wait for its answer, because the query may be a poison
     * query.
     */
    boolean awaitingCanary;
    /** The mean expected latency of the query's parts at admission. */
    double predictedPartTime;
    /** The amount of evidence that the query crashes its workers. */
    double poisonEvidence;
    /** The workers that broke their connection during the query. */
    final Set<TrackedWorker> resetWorkers = new LinkedHashSet<>();

    TrackedQuery(QueryArrived arrival, int classIndex, QueryClass queryClass, long arrivedAt, double weightFactor,
            long clientStartedAt) {
        this.arrival = arrival;
        this.classIndex = classIndex;
        this.queryClass = queryClass;
        this.arrivedAt = arrivedAt;
        this.deadline = arrival.deadline();
        this.clientStartedAt = clientStartedAt;
        this.weightFactor = weightFactor;
        this.expectedParts = arrival.partCount();
    }

    /** Returns the share of the current phase's weight that makes it complete. */
    double completeShare() {
        return phase == 1 && !arrival.needsEveryPart() ? queryClass.completeShare() : 1;
    }

    /** Returns the share of the current phase's weight that makes an answer at the deadline. */
    double minimumShare() {
        return arrival.needsEveryPart() ? 1 : queryClass.minimumShare();
    }

    /** Returns the weight of the parts that have been answered. */
    double answeredWeight() {
        double answered = 0; // called at each event of the query; a loop costs a tenth of a stream
        for (TrackedPart part : parts) {
            answered += part.answered ? part.weight : 0;
        }
        return answered;
    }

    /** Returns whether enough of the current phase has been answered. */
    boolean isPhaseComplete() {
        if (decided) {
            return true;
        }
        return phase == 1 ? answeredWeight() >= completeShare() - TuningParameters.WEIGHT_TOLERANCE
                : parts.stream().allMatch(p -> p.answered);
    }

    /** Returns how many of the parts, in this order, make a complete answer. */
    int partsNeeded(List<TrackedPart> ranked) {
        return partsNeeded(ranked, completeShare());
    }

    /**
     * Returns how many of the parts, in this order, make a complete answer of the query's class. A query that needs
     * every part is admitted by that number, too: a part that has no worker now may have one before the deadline.
     */
    int partsNeededByClass(List<TrackedPart> ranked) {
        return partsNeeded(ranked, queryClass.completeShare());
    }

    private int partsNeeded(List<TrackedPart> ranked, double share) {
        int needed = 0;
        double weight = 0;
        while (needed < ranked.size()
                && (phase == 2 || weight < share - TuningParameters.WEIGHT_TOLERANCE)) {
            weight += ranked.get(needed).weight;
            needed++;
        }
        return needed;
    }

    /**
     * Returns the time from the query's arrival within which an answer has its full value: the latency objective less
     * the time that the client's earlier attempts took.
     */
    long latencyObjective() {
        long workHint = Math.max(0, arrival.workHint());
        long objective = queryClass.latencyObjective() + (long) (queryClass.objectivePerWork() * workHint)
                - (arrivedAt - clientStartedAt);
        return Math.min(objective, deadline - arrivedAt);
    }

    /** Returns when an answer ceases to earn anything. */
    long usefulUntil() {
        return queryClass.lateValueShare() > 0 ? deadline : arrivedAt + latencyObjective();
    }

    /** Returns a hash of the class, tenant, key and shards, which are the same in a client's retry of the query. */
    int signature() {
        return Objects.hash(arrival.queryClass(), arrival.tenant(), arrival.key(),
                parts.stream().map(p -> p.shard).toList());
    }

    boolean mayHaveExecuted() {
        return parts.stream().anyMatch(TrackedPart::mayHaveExecuted);
    }
}
