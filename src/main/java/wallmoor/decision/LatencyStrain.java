package wallmoor.decision;

/** How much of their latency objective queries need lately: admission and gossip go by it. */
final class LatencyStrain {
    private final MovingAverage strain = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);

    /** A query is expected to take this much, of this objective (both in microseconds). */
    void record(double expectedTime, long latencyObjective) {
        strain.add(Math.min(TuningParameters.MAX_STRAIN, expectedTime / latencyObjective));
    }

    /** Smoothed expected time over latency objective. */
    double value() {
        return strain.orElse(0);
    }

    /** How scarce time is: from 0, up to {@link TuningParameters#ADMISSION_STRAIN}, to 1, from twice that. */
    double scarcity() {
        return Math.min(1, Math.max(0, strain.orElse(0) / TuningParameters.ADMISSION_STRAIN - 1));
    }
}
