package wallmoor.decision;

/** An exponentially weighted moving average. It has no value until the first sample. */
final class MovingAverage {
    private final double sampleWeight;
    private double value = Double.NaN;

    /** An average whose samples each have this weight, from 0 to 1. */
    MovingAverage(double sampleWeight) {
        this.sampleWeight = sampleWeight;
    }

    /** Adds a sample. */
    void add(double sample) {
        add(sample, sampleWeight);
    }

    /** Adds a sample of a weight of its own. */
    void add(double sample, double weight) {
        value = hasValue() ? value + weight * (sample - value) : sample;
    }

    boolean hasValue() {
        return !Double.isNaN(value);
    }

    /** The average, or {@code otherwise} before the first sample. */
    double orElse(double otherwise) {
        return hasValue() ? value : otherwise;
    }

    /** Forgets all samples. */
    void reset() {
        value = Double.NaN;
    }
}
