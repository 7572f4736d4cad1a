package wallmoor.decision;

/** A smoothed share that halves in a fixed time while nothing is added. */
final class DecayingRate {
    /** No share is held to be more than this: few samples can't tell. */
    private static final double MOST = 0.95;
    private final double halfLife;
    private double rate;
    private long addedAt;

    DecayingRate(double halfLife) {
        this.halfLife = halfLife;
    }

    void add(long now, double sample, double weight) {
        double old = rate(now);
        rate = old + weight * (sample - old);
        addedAt = now;
    }

    double rate(long now) {
        return rate == 0 ? 0 : rate * Math.pow(0.5, (now - addedAt) / halfLife);
    }

    /** With this share of trials failing, how many are expected to fail before one does not. */
    double expectedFailures(long now) {
        double held = Math.min(MOST, rate(now));
        return held / (1 - held);
    }

    long addedAt() {
        return addedAt;
    }

    void reset() {
        rate = 0;
    }
}
