package wallmoor.decision;

/** What a part is expected to take at a worker, from smoothed latencies, their age, and the parts in flight there. */
final class LatencyEstimator {
    private final PolicyContext context;

    LatencyEstimator(PolicyContext context) {
        this.context = context;
    }

    /**
     * A worker's latency for parts of this class (microseconds). One that is slower than usual comes back to the usual
     * while nothing of ours is in flight there, so that it is tried again.
     */
    double latency(TrackedWorker worker, int classIndex) {
        double usual = context.typicalLatency(classIndex);
        double latency = worker.latency.orElse(usual);
        if (latency <= usual || !worker.inFlight.isEmpty()) {
            return latency;
        }
        long unknownFor = context.now() - Math.max(worker.lastUsedAt, worker.lastAnsweredAt());
        return usual + (latency - usual)
                * decay(unknownFor, context.settings().classes().get(classIndex).latencyObjective());
    }

    /** What a part sent now is expected to take: the worker's latency, scaled to the parts in flight there now. */
    double expectedLatency(TrackedWorker worker, int classIndex) {
        double inFlight = worker.totalInFlight(context.now());
        double ratio = (inFlight + 1) / (worker.inFlightAtSend.orElse(inFlight) + 1);
        return latency(worker, classIndex)
                * Math.min(TuningParameters.MAX_IN_FLIGHT_SCALE, Math.max(TuningParameters.MIN_IN_FLIGHT_SCALE, ratio));
    }

    /** How long after its send a part is late (microseconds). */
    double lateAfter(TrackedPart part) {
        TrackedQuery query = part.query;
        double byLatency = TuningParameters.LATE_AFTER_LATENCIES * context.typicalLatency(query.classIndex);
        double byObjective = TuningParameters.LATE_AFTER_OBJECTIVE_SHARE * query.queryClass.latencyObjective();
        return Math.max(byLatency, byObjective) * Math.max(1, part.workScale);
    }

    /** A sample after a long silence weighs more: where a worker is heard seldom, the last word counts. */
    double sampleWeight(double gap) {
        return Math.max(TuningParameters.LATENCY_SAMPLE_WEIGHT,
                1 - Math.exp(-gap / (TuningParameters.SAMPLE_MEMORY_LATENCIES * context.typicalLatency())));
    }

    /**
     * What a report of this age still counts: all up to the latency objective, then half for each one more. Once
     * nothing is sent, nothing is heard that could say better.
     */
    static double decay(long age, long latencyObjective) {
        return Math.pow(0.5, (double) Math.max(0, age - latencyObjective) / latencyObjective);
    }
}
