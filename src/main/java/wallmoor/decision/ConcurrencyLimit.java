package wallmoor.decision;

/**
 * The number of parts in flight at which a worker's latency first rose above its best by {@link
 * TuningParameters#LIMIT_LATENCY_RISE}: an adaptive concurrency limit, found from latencies as TCP Vegas does. It
 * rejects nothing; the load that {@link RedundancyPlanner} reckons with is measured by it.
 */
final class ConcurrencyLimit {
    private double bestLatency = Double.NaN;
    private double parts = TuningParameters.INITIAL_CONCURRENCY_LIMIT;
    private boolean above;

    /**
     * Takes in the smoothed latency after an answer.
     *
     * @param inFlightBefore this gatherer's parts in flight at the worker when the answered one was sent
     * @param gatherers      gatherers that share the worker, each taken to have as many
     */
    void record(double smoothedLatency, int inFlightBefore, int gatherers) {
        if (Double.isNaN(bestLatency) || smoothedLatency < bestLatency) {
            bestLatency = smoothedLatency;
        }
        boolean isAbove = smoothedLatency > TuningParameters.LIMIT_LATENCY_RISE * bestLatency;
        if (isAbove && !above) {
            parts = Math.max(TuningParameters.INITIAL_CONCURRENCY_LIMIT, (inFlightBefore + 1) * gatherers);
        }
        above = isAbove;
    }

    /** The limit, in parts of all gatherers. */
    double parts() {
        return parts;
    }

    /** The least smoothed latency so far (microseconds); not a number before the first. */
    double bestLatency() {
        return bestLatency;
    }
}
