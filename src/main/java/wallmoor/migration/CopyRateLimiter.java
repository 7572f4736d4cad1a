package wallmoor.migration;

/**
 * Token bucket for the bytes copied by all migrations together, refilled according to the timestamps of events. It
 * yields to queries: when a node reports that copying slows them down, the rate is halved; otherwise it grows by a
 * constant step (additive increase, multiplicative decrease).
 */
final class CopyRateLimiter {
    /** Time of refill that the bucket holds: a late tick loses no tokens, and bursts stay short. */
    private static final long BURST_MICROS = 250_000;
    /** Minimum time between two changes of the rate, so that responses show the effect of the last one. */
    private static final long ADJUST_MICROS = 200_000;
    /** Number of steps from zero to the full rate, which take 6.4 s. */
    private static final int INCREASE_STEPS = 32;
    /** Divisor of the maximum rate that gives the minimum rate, so that every migration ends. */
    private static final int MAX_REDUCTION = 64;
    /** Reported load from which the rate is reduced in favor of queries. */
    private static final double LOAD_THRESHOLD = 0.5;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER = Long.MIN_VALUE;

    private final long maxBytesPerSecond;
    private double bytesPerSecond;
    private double availableBytes;
    private long refilledAt = NEVER;
    private long adjustedAt = NEVER;

    CopyRateLimiter(long maxBytesPerSecond) {
        this.maxBytesPerSecond = maxBytesPerSecond;
        bytesPerSecond = maxBytesPerSecond;
    }

    /**
     * Takes tokens for a copy of this size, if they are available. A full bucket also grants a copy larger than its
     * capacity.
     *
     * @param now microseconds of a monotonic clock
     */
    boolean tryAcquire(long now, long bytes) {
        if (refilledAt == NEVER) {
            refilledAt = now;
        }
        double capacity = bytesPerSecond * BURST_MICROS / MICROS_PER_SECOND;
        double refill = bytesPerSecond * Math.max(0, now - refilledAt) / MICROS_PER_SECOND;
        availableBytes = Math.min(capacity, availableBytes + refill);
        refilledAt = Math.max(refilledAt, now);
        if (availableBytes < Math.min((double) bytes, capacity)) {
            return false;
        }
        availableBytes -= bytes; // negative after a chunk larger than the bucket: the next one waits for the refill
        return true;
    }

    /** Adjusts the rate to the load that a node reported, 0 to 1. */
    void onLoad(long now, double load) {
        if (adjustedAt != NEVER && now - adjustedAt < ADJUST_MICROS) {
            return;
        }
        adjustedAt = now;
        bytesPerSecond = load >= LOAD_THRESHOLD
                ? Math.max(bytesPerSecond / 2, (double) maxBytesPerSecond / MAX_REDUCTION)
                : Math.min((double) maxBytesPerSecond, bytesPerSecond + (double) maxBytesPerSecond / INCREASE_STEPS);
    }

    /** Returns the present rate, in bytes per second. */
    long bytesPerSecond() {
        return (long) bytesPerSecond;
    }
}
