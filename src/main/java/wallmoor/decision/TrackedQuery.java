package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** One query (a job, in the paper) from its arrival to its final answer. Times are microseconds. */
final class TrackedQuery {
    final QueryArrived arrival;
    /** Its class's place in the settings; the nearest one where the index given lies outside. */
    final int classIndex;
    /** Its class as it was when the query came. */
    final QueryClass queryClass;
    final long arrivedAt;
    /** When its client sent its first attempt, as far as can be told. */
    final long clientStartedAt;
    /** Factor on its class's priority weight: below one over the tenant's quota, or when it comes late. */
    final double weightFactor;
    /** The parts of its present phase. */
    List<TrackedPart> parts = new ArrayList<>();
    /** How many parts its present phase has. */
    int expectedParts;
    /** 1, or 2 once its first phase has been answered and has a follow-up. */
    int phase = 1;
    /** The parts of its present phase have been sent. */
    boolean started;
    boolean firstPhaseComplete;
    /** One part goes ahead of the others, which wait for its answer: the query may be a poison query. */
    boolean scouting;
    /** Mean of the times that its parts were expected to take at admission. */
    double predictedPartTime;
    /** Evidence that it crashes its workers. */
    double poisonEvidence;
    /** The workers that broke their connection under it. */
    final Set<TrackedWorker> resetWorkers = new LinkedHashSet<>();

    TrackedQuery(QueryArrived arrival, int classIndex, QueryClass queryClass, long arrivedAt, double weightFactor,
            long clientStartedAt) {
        this.arrival = arrival;
        this.classIndex = classIndex;
        this.queryClass = queryClass;
        this.arrivedAt = arrivedAt;
        this.clientStartedAt = clientStartedAt;
        this.weightFactor = weightFactor;
        this.expectedParts = arrival.partCount();
    }

    /** The share of its present phase's weight that makes it complete. */
    double completeShare() {
        return phase == 1 ? queryClass.completeShare() : 1;
    }

    /** The weight of its parts that have been answered. */
    double answeredWeight() {
        double answered = 0; // asked at each event of the query: a loop costs a tenth of a stream
        for (TrackedPart part : parts) {
            answered += part.answered ? part.weight : 0;
        }
        return answered;
    }

    /** Whether enough of its present phase has been answered. */
    boolean isPhaseComplete() {
        return phase == 1 ? answeredWeight() >= completeShare() - TuningParameters.WEIGHT_TOLERANCE
                : parts.stream().allMatch(p -> p.answered);
    }

    /** How many of its parts, in this order, make a complete answer. */
    int partsNeeded(List<TrackedPart> ranked) {
        int needed = 0;
        double weight = 0;
        while (needed < ranked.size()
                && (phase == 2 || weight < completeShare() - TuningParameters.WEIGHT_TOLERANCE)) {
            weight += ranked.get(needed).weight;
            needed++;
        }
        return needed;
    }

    /** Time from its arrival within which its answer earns in full: what its client's earlier attempts left of it. */
    long latencyObjective() {
        long workHint = Math.max(0, arrival.workHint());
        long objective = queryClass.latencyObjective() + (long) (queryClass.objectivePerWork() * workHint)
                - (arrivedAt - clientStartedAt);
        return Math.min(objective, arrival.deadline() - arrivedAt);
    }

    /** When an answer ceases to earn anything. */
    long usefulUntil() {
        return queryClass.lateValueShare() > 0 ? arrival.deadline() : arrivedAt + latencyObjective();
    }

    /** What a client's retry of the same query shares with this one. */
    int signature() {
        return Objects.hash(arrival.queryClass(), arrival.tenant(), arrival.key(),
                parts.stream().map(p -> p.shard).toList());
    }

    boolean mayHaveExecuted() {
        return parts.stream().anyMatch(TrackedPart::mayHaveExecuted);
    }
}
