package wallmoor.decision;

import java.util.List;
import java.util.Set;

/**
 * Admission control: rejects a query on arrival if it is unlikely to meet its latency objective, or if this gatherer
 * already holds too many queries and parts. Queries with little weight for their work are rejected first.
 */
final class AdmissionControl {
    private final PolicyContext context;
    private final RequestTable requests;
    private final ReplicaSelector selector;
    private final LatencyEstimator estimator;
    private final LatencyStrain strain;
    private final ClassFairness fairness;
    private final MovingAverage meanWeightForWork = new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT);
    private long lastAnswerAt;
    private long lastAdmissionAt;

    AdmissionControl(PolicyContext context, RequestTable requests, ReplicaSelector selector,
            LatencyEstimator estimator, LatencyStrain strain) {
        this.context = context;
        this.requests = requests;
        this.selector = selector;
        this.estimator = estimator;
        this.strain = strain;
        RoutingSettings settings = context.settings();
        fairness = new ClassFairness(settings.classes(), settings.costs().worstClassWeight());
    }

    /**
     * Applies new settings.
     *
     * @param removedClasses indexes of classes that take no further queries
     */
    void reload(RoutingSettings newSettings, Set<Integer> removedClasses) {
        fairness.ensureClasses(newSettings.classes().size(), removedClasses, newSettings.costs().worstClassWeight());
    }

    /** Records that a worker has answered a part. */
    void recordAnswer() {
        lastAnswerAt = context.now();
    }

    /** Records the end of a query. */
    void recordEnd(TrackedQuery query, boolean inTime) {
        fairness.record(query.classIndex, query.queryClass.priorityWeight() * query.weightFactor, inTime);
    }

    /** Returns whether a query may start, and stores in the query the expected time of its parts. */
    boolean admits(TrackedQuery query) {
        List<TrackedPart> ranked = selector.ranked(query.parts);
        int needed = query.partsNeededByClass(ranked);
        double meanPartTime = 0;
        for (TrackedPart part : ranked.subList(0, needed)) {
            TrackedWorker worker = selector.choose(part);
            meanPartTime += worker == null ? Double.POSITIVE_INFINITY
                    : estimator.expectedLatency(worker, query.classIndex) / needed;
        }
        double decayedPartTime = meanPartTime * LatencyEstimator.decay(
                context.now() - Math.max(lastAnswerAt, lastAdmissionAt), query.queryClass.latencyObjective());
        double relativeWeight = relativeWeightForWork(query, needed);
        query.predictedPartTime = meanPartTime;
        MovingAverage latencyRatio = context.latencies.queryLatencyRatio(query.classIndex);
        double initialRatio = Math.min(needed, TuningParameters.INITIAL_QUERY_LATENCY_RATIO);
        double expectedTime = decayedPartTime * latencyRatio.orElse(initialRatio);
        strain.record(expectedTime, query.latencyObjective());
        double shift = Math.min(TuningParameters.MAX_RELATIVE_WEIGHT,
                Math.max(TuningParameters.MIN_RELATIVE_WEIGHT, relativeWeight)) - 1;
        double allowedTime = TuningParameters.ADMISSION_OBJECTIVE_SHARE * (1 + shift * strain.scarcity())
                * query.latencyObjective();
        if (expectedTime > allowedTime) {
            // without this sample a class whose queries are all rejected would never learn a lower ratio
            latencyRatio.add(initialRatio);
        }
        boolean admitted = expectedTime <= allowedTime && !requests.isFull(context.settings());
        lastAdmissionAt = admitted ? context.now() : lastAdmissionAt;
        return admitted;
    }

    /**
     * Returns the square root of the query's weight for its work, relative to the mean, then adds the query to that
     * mean.
     */
    private double relativeWeightForWork(TrackedQuery query, int needed) {
        double work = context.settings().weightByWork() ? (double) needed / query.parts.size()
                : needed + TuningParameters.FOLLOW_UP_WORK * query.queryClass.followUpParts();
        double weightForWork = query.queryClass.priorityWeight() * query.weightFactor
                * fairness.weightFactor(query.classIndex) / work;
        double relativeWeight = Math.sqrt(weightForWork / meanWeightForWork.orElse(weightForWork));
        meanWeightForWork.add(weightForWork);
        return relativeWeight;
    }
}
