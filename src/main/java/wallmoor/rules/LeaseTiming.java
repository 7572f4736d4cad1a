package wallmoor.rules;

/**
 * The durations of the lease protocol, in microseconds. No two gatherers act on contradicting versions for longer than
 * {@code leaseTerm} of true time, as long as each clock runs at a rate from {@code 1 - clockDrift} to
 * {@code 1 + clockDrift}.
 *
 * @param leaseTerm  from 100 ms to an hour
 * @param clockDrift from 0 to 0.1
 */
public record LeaseTiming(long leaseTerm, double clockDrift) {
    private static final long MIN_TERM_MICROS = 100_000;
    private static final long MAX_TERM_MICROS = 3_600_000_000L;
    private static final double MAX_DRIFT = 0.1;
    /** Requests in the duration of a lease: three answers may be lost before the lease expires. */
    private static final int RENEWALS_PER_LEASE = 5;
    /** Both clocks are read in whole microseconds. */
    private static final long CLOCK_ROUNDING_MICROS = 2;

    /** Checks the bounds. */
    public LeaseTiming {
        if (leaseTerm < MIN_TERM_MICROS || leaseTerm > MAX_TERM_MICROS
                || !(clockDrift >= 0 && clockDrift <= MAX_DRIFT)) {
            throw new IllegalArgumentException("term: from 100 ms to 1 h; drift: from 0 to 0.1");
        }
    }

    /** A term of five seconds, and clocks that drift by one in a hundred. */
    public static LeaseTiming defaults() {
        return new LeaseTiming(5_000_000, 0.01);
    }

    /** Duration of a lease on the holder's clock, from when it was requested: at most a term of true time. */
    public long holderDuration() {
        return (long) Math.floor(leaseTerm * (1 - clockDrift));
    }

    /** Duration on the leader's clock after which a lease it may have granted is over: at least a term of true time. */
    public long grantorWait() {
        return (long) Math.ceil(leaseTerm * (1 + clockDrift)) + CLOCK_ROUNDING_MICROS;
    }

    /** Time between two requests of a holder. */
    public long renewalInterval() {
        return holderDuration() / RENEWALS_PER_LEASE;
    }
}
