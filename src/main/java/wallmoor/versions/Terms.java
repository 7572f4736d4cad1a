package wallmoor.versions;

/**
 * The times of the promise, in microseconds: no two gatherers act on contradicting versions for longer than {@code
 * term}, as long as each clock runs at a rate from {@code 1 - drift} to {@code 1 + drift} of true time.
 *
 * @param term  from 100 ms to an hour
 * @param drift from 0 to 0.1
 */
public record Terms(long term, double drift) {
    /** A gatherer asks so often in a lease: three answers may be lost before the lease is over. */
    private static final int ASKS = 5;
    /** Both clocks are read in whole microseconds. */
    private static final long ROUNDED = 2;

    /** Checks the bounds. */
    public Terms {
        if (term < 100_000 || term > 3_600_000_000L || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("term: from 100 ms to 1 h; drift: from 0 to 0.1");
        }
    }

    /** Five seconds, and clocks that run apart by one in a hundred. */
    public static Terms usual() {
        return new Terms(5_000_000, 0.01);
    }

    /** How long a gatherer's lease lasts by its own clock, from when it asked: at most a term of true time. */
    public long lease() {
        return (long) Math.floor(term * (1 - drift));
    }

    /**
     * How long a leader waits by its own clock until a lease it may have given is over: at least a term of true time.
     */
    public long over() {
        return (long) Math.ceil(term * (1 + drift)) + ROUNDED;
    }

    /** Time between two asks. */
    public long renew() {
        return lease() / ASKS;
    }
}
