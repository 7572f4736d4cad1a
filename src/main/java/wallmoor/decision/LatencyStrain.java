package wallmoor.decision;

/**
 * The smoothed ratio of the queries' expected time to their latency objective. Admission control and gossip depend on
 * it.
 */
final class LatencyStrain {
    private final MovingAverage strain = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);

    /** Records a query's expected time and its latency objective (both in microseconds). */
    void record(double expectedTime, long latencyObjective) {
        strain.add(Math.min(TuningParameters.MAX_STRAIN, expectedTime / latencyObjective));
    }

    /** Returns the smoothed ratio of expected time to latency objective. */
    double value() {
        return strain.orElse(0);
    }

    /**
     * Returns how scarce time is: 0 up to {@link TuningParameters#ADMISSION_STRAIN}, rising to 1 at twice that ratio.
     */
    double scarcity() {
        return Math.min(1, Math.max(0, strain.orElse(0) / TuningParameters.ADMISSION_STRAIN - 1));
    }
}
