package wallmoor.decision;

/** A smoothed rate of failures, from 0 to 1, that halves in a fixed time while nothing is added. */
final class DecayingRate {
    private final double halfLife;
    private double rate;
    private long addedAt;

    /** A rate of 0 that will halve in this time (microseconds). */
    DecayingRate(double halfLife) {
        this.halfLife = halfLife;
    }

    /** Adds a sample, from 0 to 1, of this weight. */
    void add(long now, double sample, double weight) {
        double old = rate(now);
        rate = old + weight * (sample - old);
        addedAt = now;
    }

    /** The rate at this time. */
    double rate(long now) {
        return rate == 0 ? 0 : rate * Math.pow(0.5, (now - addedAt) / halfLife);
    }

    /** With this rate of attempts failing, how many are expected to fail before one does not. */
    double expectedFailures(long now) {
        double bounded = Math.min(TuningParameters.MAX_FAILURE_RATE, rate(now));
        return bounded / (1 - bounded);
    }

    /** When the last sample was added; 0 before the first. */
    long addedAt() {
        return addedAt;
    }

    /** Forgets all samples. */
    void reset() {
        rate = 0;
    }
}
