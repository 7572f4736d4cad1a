package wallmoor.decision;

/** An exponentially weighted moving average. It has no value before the first sample. */
final class MovingAverage {
    private final double sampleWeight;
    private double value = Double.NaN;

    /**
     * Creates an average without samples.
     *
     * @param sampleWeight the weight of each sample, from 0 to 1
     */
    MovingAverage(double sampleWeight) {
        this.sampleWeight = sampleWeight;
    }

    /** Adds a sample. */
    void add(double sample) {
        add(sample, sampleWeight);
    }

    /** Adds a sample with the given weight instead of the usual one. */
    void add(double sample, double weight) {
        value = hasValue() ? value + weight * (sample - value) : sample;
    }

    boolean hasValue() {
        return !Double.isNaN(value);
    }

    /** Returns the average, or {@code fallback} before the first sample. */
    double orElse(double fallback) {
        return hasValue() ? value : fallback;
    }

    /** Removes all samples. */
    void reset() {
        value = Double.NaN;
    }
}
