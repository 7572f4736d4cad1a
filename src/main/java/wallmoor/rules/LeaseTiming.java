package wallmoor.rules;

/**
 * Durations of the lease protocol, in microseconds. No two gatherers act on contradicting versions for longer than
 * {@code leaseTerm} of true time, provided that each clock runs at a rate from {@code 1 - clockDrift} to
 * {@code 1 + clockDrift}.
 *
 * @param leaseTerm  microseconds, from 100 ms to one hour
 * @param clockDrift maximum deviation of a clock's rate from 1; from 0 to 0.1
 */
public record LeaseTiming(long leaseTerm, double clockDrift) {
    private static final long MIN_TERM_MICROS = 100_000;
    private static final long MAX_TERM_MICROS = 3_600_000_000L;
    private static final double MAX_DRIFT = 0.1;
    /** Requests during one lease: three responses in a row may be lost before the lease expires. */
    private static final int RENEWALS_PER_LEASE = 5;
    /** Rounding error of an interval on two clocks, as each clock is read in whole microseconds. */
    private static final long CLOCK_ROUNDING_MICROS = 2;

    /** Validates the bounds. */
    public LeaseTiming {
        if (leaseTerm < MIN_TERM_MICROS || leaseTerm > MAX_TERM_MICROS
                || !(clockDrift >= 0 && clockDrift <= MAX_DRIFT)) {
            throw new IllegalArgumentException("lease term of " + leaseTerm + " us must be from " + MIN_TERM_MICROS
                    + " to " + MAX_TERM_MICROS + ", clock drift of " + clockDrift + " from 0 to " + MAX_DRIFT);
        }
    }

    /** Returns a lease term of five seconds and a clock drift of 1%. */
    public static LeaseTiming defaults() {
        return new LeaseTiming(5_000_000, 0.01);
    }

    /** Returns the duration of a lease on the holder's clock, from its request: at most one term of true time. */
    public long holderDuration() {
        return (long) Math.floor(leaseTerm * (1 - clockDrift));
    }

    /** Returns how long the leader waits for a lease to expire, on its own clock: at least one term of true time. */
    public long grantorWait() {
        return (long) Math.ceil(leaseTerm * (1 + clockDrift)) + CLOCK_ROUNDING_MICROS;
    }

    /** Returns the time between two requests of a holder. */
    public long renewalInterval() {
        return holderDuration() / RENEWALS_PER_LEASE;
    }
}
