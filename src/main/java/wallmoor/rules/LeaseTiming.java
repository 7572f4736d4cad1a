package wallmoor.rules;

/**
 * The times of the promise, in microseconds: no two gatherers act on contradicting versions for longer than {@code
 * term}, as long as each clock runs at a rate from {@code 1 - drift} to {@code 1 + drift} of true time.
 *
 * @param leaseTerm  from 100 ms to an hour
 * @param clockDrift from 0 to 0.1
 */
public record LeaseTiming(long leaseTerm, double clockDrift) {
    /** A gatherer asks so often in a lease: three answers may be lost before the lease is over. */
    private static final int RENEWALS_PER_LEASE = 5;
    /** Both clocks are read in whole microseconds. */
    private static final long CLOCK_ROUNDING_MICROS = 2;

    /** Checks the bounds. */
    public LeaseTiming {
        if (leaseTerm < 100_000 || leaseTerm > 3_600_000_000L || !(clockDrift >= 0 && clockDrift <= 0.1)) {
            throw new IllegalArgumentException("term: from 100 ms to 1 h; drift: from 0 to 0.1");
        }
    }

    /** Five seconds, and clocks that run apart by one in a hundred. */
    public static LeaseTiming defaults() {
        return new LeaseTiming(5_000_000, 0.01);
    }

    /** How long a gatherer's lease lasts by its own clock, from when it asked: at most a term of true time. */
    public long holderDuration() {
        return (long) Math.floor(leaseTerm * (1 - clockDrift));
    }

    /**
     * How long a leader waits by its own clock until a lease it may have given is over: at least a term of true time.
     */
    public long grantorWait() {
        return (long) Math.ceil(leaseTerm * (1 + clockDrift)) + CLOCK_ROUNDING_MICROS;
    }

    /** Time between two asks. */
    public long renewalInterval() {
        return holderDuration() / RENEWALS_PER_LEASE;
    }
}
