package wallmoor.decision;

import java.util.List;
import java.util.Set;

/**
 * Admission control: sheds at once what can't meet its latency objective, the least weight for its work first, and what
 * would be too much to hold. Owns the shares that classes were served of their weight.
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
        fairness = new ClassFairness(settings.classes(), settings.costs().worstServedClass());
    }

    /** New settings are in force; classes at the vanished places take no query any more. */
    void reload(RoutingSettings next, Set<Integer> vanished) {
        fairness.ensureClasses(next.classes().size(), vanished, next.costs().worstServedClass());
    }

    /** A worker has answered a part. */
    void recordAnswer() {
        lastAnswerAt = context.now();
    }

    /** A query has ended. */
    void recordEnd(TrackedQuery query, boolean inTime) {
        fairness.add(query.classIndex, query.queryClass.priorityWeight() * query.weightFactor, inTime);
    }

    /** Whether a query may start. Notes what its parts are expected to take. */
    boolean admits(TrackedQuery query) {
        List<TrackedPart> ranked = selector.ranked(query.parts);
        int needed = query.partsNeeded(ranked);
        double mean = 0;
        for (TrackedPart part : ranked.subList(0, needed)) {
            TrackedWorker worker = selector.choose(part);
            mean += worker == null ? Double.POSITIVE_INFINITY
                    : estimator.expectedLatency(worker, query.classIndex) / needed;
        }
        double aged = mean * LatencyEstimator.decay(context.now() - Math.max(lastAnswerAt, lastAdmissionAt),
                query.queryClass.latencyObjective());
        double relative = relativeWeightForWork(query, needed);
        query.predictedPartTime = mean;
        MovingAverage stretch = context.latencies.queryStretch(query.classIndex);
        double unlearntStretch = Math.min(needed, TuningParameters.INITIAL_QUERY_STRETCH);
        double time = aged * stretch.orElse(unlearntStretch);
        strain.record(time, query.latencyObjective());
        double shift = Math.min(TuningParameters.MAX_RELATIVE_WEIGHT,
                Math.max(TuningParameters.MIN_RELATIVE_WEIGHT, relative)) - 1;
        double allowed = TuningParameters.ADMISSION_OBJECTIVE_SHARE * (1 + shift * strain.scarcity())
                * query.latencyObjective();
        if (time > allowed) {
            stretch.add(unlearntStretch); // one that is rejected would never learn again
        }
        boolean admitted = time <= allowed && !requests.isFull(context.settings());
        lastAdmissionAt = admitted ? context.now() : lastAdmissionAt;
        return admitted;
    }

    /** The root of a query's weight for its work over the mean, before the query itself counts in that mean. */
    private double relativeWeightForWork(TrackedQuery query, int needed) {
        double work = context.settings().weightByWork() ? (double) needed / query.parts.size()
                : needed + TuningParameters.FOLLOW_UP_WORK * query.queryClass.followUpParts();
        double weightForWork = query.queryClass.priorityWeight() * query.weightFactor
                * fairness.weight(query.classIndex) / work;
        double relative = Math.sqrt(weightForWork / meanWeightForWork.orElse(weightForWork));
        meanWeightForWork.add(weightForWork);
        return relative;
    }
}
