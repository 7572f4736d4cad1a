package wallmoor.decision;

/** A smoothed share that halves in a fixed time while nothing is added. */
final class Fading {
    private final double halfLife;
    private double share;
    private long addedAt;

    Fading(double halfLife) {
        this.halfLife = halfLife;
    }

    void add(long now, double sample, double weight) {
        double old = share(now);
        share = old + weight * (sample - old);
        addedAt = now;
    }

    double share(long now) {
        return share == 0 ? 0 : share * Math.pow(0.5, (now - addedAt) / halfLife);
    }

    long addedAt() {
        return addedAt;
    }

    void forget() {
        share = 0;
    }
}
