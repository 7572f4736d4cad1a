package wallmoor.decision;

/** A smoothed failure rate from 0 to 1 that decays exponentially between samples. */
final class DecayingRate {
    private final double halfLife;
    private double rate;
    private long addedAt;

    /**
     * Creates a rate of 0.
     *
     * @param halfLife time in which the rate halves (microseconds)
     */
    DecayingRate(double halfLife) {
        this.halfLife = halfLife;
    }

    /** Adds a sample from 0 to 1 with the given weight. */
    void add(long now, double sample, double weight) {
        double previous = rate(now);
        rate = previous + weight * (sample - previous);
        addedAt = now;
    }

    /** Returns the rate at the given time. */
    double rate(long now) {
        return rate == 0 ? 0 : rate * Math.pow(0.5, (now - addedAt) / halfLife);
    }

    /** Returns the expected number of failed attempts before the first success, at the current rate. */
    double expectedFailures(long now) {
        double boundedRate = Math.min(TuningParameters.MAX_FAILURE_RATE, rate(now));
        return boundedRate / (1 - boundedRate);
    }

    /** Returns when the last sample was added (microseconds), or 0 before the first. */
    long addedAt() {
        return addedAt;
    }

    /** Removes all samples. */
    void reset() {
        rate = 0;
    }
}
