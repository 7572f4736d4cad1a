package wallmoor.decision;

/** An exponentially smoothed mean. It has no value until the first sample. */
final class Smoothed {
    private final double step;
    private double value = Double.NaN;

    /** Makes one whose samples each weigh {@code step}. */
    Smoothed(double step) {
        this.step = step;
    }

    void add(double sample) {
        add(sample, step);
    }

    /** Adds a sample of its own weight. */
    void add(double sample, double weight) {
        value = heard() ? value + weight * (sample - value) : sample;
    }

    boolean heard() {
        return !Double.isNaN(value);
    }

    double or(double otherwise) {
        return heard() ? value : otherwise;
    }

    void forget() {
        value = Double.NaN;
    }
}
