package wallmoor.decision;

/** An exponentially smoothed mean. It has no value until the first sample. */
final class MovingAverage {
    private final double step;
    private double value = Double.NaN;

    /** Makes one whose samples each weigh {@code step}. */
    MovingAverage(double step) {
        this.step = step;
    }

    void add(double sample) {
        add(sample, step);
    }

    /** Adds a sample of its own weight. */
    void add(double sample, double weight) {
        value = hasValue() ? value + weight * (sample - value) : sample;
    }

    boolean hasValue() {
        return !Double.isNaN(value);
    }

    double orElse(double otherwise) {
        return hasValue() ? value : otherwise;
    }

    void reset() {
        value = Double.NaN;
    }
}
