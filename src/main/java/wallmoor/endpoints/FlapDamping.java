package wallmoor.endpoints;

/**
 * How long a node is held out that comes and goes, or that nobody can connect to, though its records say that it
 * serves. Both times grow by doubling, up to a bound, and are forgotten after a quiet while: the damping of RFC 2439
 * without its decay curve, which a bounded doubling does not need. Times are microseconds.
 */
final class FlapDamping {

    /**
     * The figures.
     *
     * @param first      the first hold of a node that flaps: its second return within {@code quiet} has it
     * @param most       no hold of a node that flaps is longer
     * @param quiet      so long without a departure, and earlier ones are forgotten
     * @param failures   connections in a row that must have failed before an address counts as dead
     * @param failing    and the time they must span
     * @param mostDead   no hold of a dead address is longer: then it is tried again
     */
    public record DampingParameters(long first, long most, long quiet, int failures, long failing, long mostDead) {
        /** Starting values. */
        public static final DampingParameters USUAL = new DampingParameters(5_000_000, 300_000_000, 600_000_000, 3,
                2_000_000, 30_000_000);

        /** Checks the bounds. */
        public DampingParameters {
            if (first <= 0 || most < first || quiet <= 0 || failures < 1 || failing < 0 || mostDead < first) {
                throw new IllegalArgumentException("holds are out of bounds");
            }
        }
    }

    private final DampingParameters figures;
    private int returns;
    private long leftAt = Long.MIN_VALUE;
    private int failures;
    private long failingSince;
    private int deaths;
    private long suppressedUntil = Long.MIN_VALUE;
    private long deadUntil = Long.MIN_VALUE;
    private String suppressionReason;

    FlapDamping(DampingParameters figures) {
        this.figures = figures;
    }

    /** The sources have ceased to name it as serving. */
    void onRemoved(long now) {
        if (leftAt != Long.MIN_VALUE && now - leftAt > figures.quiet()) {
            returns = 0;
        }
        leftAt = now;
    }

    /** They name it again. The first return is free: a node may be restarted once without being suspected. */
    void onReturned(long now) {
        returns = leftAt != Long.MIN_VALUE && now - leftAt <= figures.quiet() ? returns + 1 : 0;
        if (returns > 1) {
            hold(now, doubled(returns - 2, figures.most()), "returned " + returns + " times");
        }
    }

    /** A connection came up. */
    void onConnectSucceeded() {
        failures = 0;
        deaths = 0;
    }

    /** A connection did not come up. Whether the address counts as dead from now on. */
    boolean onConnectFailed(long now) {
        if (failures++ == 0) {
            failingSince = now;
        }
        boolean trial = deaths > 0; // one that was held out has one try to show that it is back
        if (isSuppressed(now) || !trial && (failures < figures.failures() || now - failingSince < figures.failing())) {
            return false;
        }
        hold(now, doubled(deaths++, figures.mostDead()), "can't be connected to");
        failures = 0;
        deadUntil = suppressedUntil;
        return true;
    }

    /** Whether it is held out because nobody can connect to it. */
    boolean isUnreachable(long now) {
        return now < deadUntil;
    }

    boolean isSuppressed(long now) {
        return now < suppressedUntil;
    }

    /** Whether a departure lately bears on what a return means. */
    boolean hasHistory(long now) {
        return leftAt != Long.MIN_VALUE && now < historyExpiresAt();
    }

    long historyExpiresAt() {
        return leftAt + figures.quiet();
    }

    long suppressedUntil() {
        return suppressedUntil;
    }

    String suppressionReason() {
        return suppressionReason;
    }

    private void hold(long now, long time, String reason) {
        if (now + time > suppressedUntil) {
            suppressedUntil = now + time;
            suppressionReason = reason;
        }
    }

    private long doubled(int times, long most) {
        return Math.min(most, figures.first() << Math.min(times, 20));
    }
}
