package wallmoor.decision;

/**
 * An adaptive concurrency limit, estimated from latencies as in TCP Vegas: the number of parts in flight at which a
 * worker's smoothed latency first exceeded its minimum by the factor {@link TuningParameters#LIMIT_LATENCY_RISE}. It
 * rejects nothing; {@link RedundancyPlanner} divides the parts in flight by it to measure load.
 */
final class ConcurrencyLimit {
    private double bestLatency = Double.NaN;
    private double limitParts = TuningParameters.INITIAL_CONCURRENCY_LIMIT;
    private boolean wasAbove;

    /**
     * Updates the limit with the smoothed latency after an answer.
     *
     * @param smoothedLatency the worker's smoothed latency (microseconds)
     * @param inFlightBefore  this gatherer's parts in flight at the worker when the answered part was sent
     * @param gatherers       gatherers that share the worker; each is assumed to have as many parts in flight
     */
    void record(double smoothedLatency, int inFlightBefore, int gatherers) {
        if (Double.isNaN(bestLatency) || smoothedLatency < bestLatency) {
            bestLatency = smoothedLatency;
        }
        boolean isAbove = smoothedLatency > TuningParameters.LIMIT_LATENCY_RISE * bestLatency;
        if (isAbove && !wasAbove) {
            limitParts = Math.max(TuningParameters.INITIAL_CONCURRENCY_LIMIT, (inFlightBefore + 1) * gatherers);
        }
        wasAbove = isAbove;
    }

    /** Returns the limit, in parts of all gatherers. */
    double limitParts() {
        return limitParts;
    }

    /** Returns the lowest smoothed latency so far (microseconds), or NaN before the first. */
    double bestLatency() {
        return bestLatency;
    }
}
