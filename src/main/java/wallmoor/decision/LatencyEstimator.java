package wallmoor.decision;

/** Estimates the latency of a part at a worker from smoothed latencies, their age, and the parts in flight there. */
final class LatencyEstimator {
    private final PolicyContext context;

    LatencyEstimator(PolicyContext context) {
        this.context = context;
    }

    /**
     * Returns a worker's latency for parts of this class (microseconds). The latency of a worker that is slower than
     * typical decays to the typical one while none of this gatherer's parts are in flight there, so that the worker is
     * used again.
     */
    double latency(TrackedWorker worker, int classIndex) {
        double typical = context.typicalLatency(classIndex);
        double latency = worker.latency.orElse(typical);
        if (latency <= typical || !worker.inFlight.isEmpty()) {
            return latency;
        }
        long idleTime = context.now() - Math.max(worker.lastUsedAt, worker.lastAnsweredAt());
        return typical + (latency - typical)
                * decay(idleTime, context.settings().classes().get(classIndex).latencyObjective());
    }

    /**
     * Returns the expected latency of a part sent now (microseconds): the worker's latency, scaled by its current parts
     * in flight.
     */
    double expectedLatency(TrackedWorker worker, int classIndex) {
        double inFlight = worker.totalInFlight(context.now());
        double ratio = (inFlight + 1) / (worker.inFlightAtSend.orElse(inFlight) + 1);
        return latency(worker, classIndex)
                * Math.min(TuningParameters.MAX_IN_FLIGHT_SCALE, Math.max(TuningParameters.MIN_IN_FLIGHT_SCALE, ratio));
    }

    /** Returns the time after its send at which a part is late (microseconds). */
    double lateAfter(TrackedPart part) {
        TrackedQuery query = part.query;
        double latencyBound = TuningParameters.LATE_AFTER_LATENCIES * context.typicalLatency(query.classIndex);
        double objectiveBound = TuningParameters.LATE_AFTER_OBJECTIVE_SHARE * query.queryClass.latencyObjective();
        return Math.max(latencyBound, objectiveBound) * Math.max(1, part.workScale);
    }

    /**
     * Returns the weight of a latency sample: higher after a long gap (microseconds), so that the most recent sample
     * counts at workers that answer seldom.
     */
    double sampleWeight(double gap) {
        return Math.max(TuningParameters.LATENCY_SAMPLE_WEIGHT,
                1 - Math.exp(-gap / (TuningParameters.SAMPLE_MEMORY_LATENCIES * context.typicalLatency())));
    }

    /**
     * Returns the weight of an observation of this age: 1 up to the latency objective, then half for each further
     * latency objective. While nothing is sent to a worker, no answer could correct an outdated observation.
     */
    static double decay(long age, long latencyObjective) {
        return Math.pow(0.5, (double) Math.max(0, age - latencyObjective) / latencyObjective);
    }
}
