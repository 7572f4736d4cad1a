package wallmoor.migration;

/**
 * How fast is copied: a bucket of bytes that fills by the time events come with. It gives way to queries: where a node
 * says that they suffer the rate is halved, and it comes back step by step.
 */
final class CopyRateLimiter {
    /** The bucket holds what comes in this time: a late tick costs nothing, and a burst is short. */
    private static final long BURST = 250_000;
    /** The rate changes once in this time at most: what it was changed for shows in answers of after it. */
    private static final long STEP = 200_000;
    /** From a standstill back to the whole rate in 32 steps, 6.4 s. */
    private static final int UP = 32;
    /** Never slower than this part of the bound: a move must end. */
    private static final int SLOWEST = 64;
    /** From this load on queries come first. */
    private static final double SUFFERS = 0.5;

    private final long most;
    private double rate;
    private double there;
    private long at = Long.MIN_VALUE;
    private long changed = Long.MIN_VALUE;

    /** {@code most} is bytes a second. */
    CopyRateLimiter(long most) {
        this.most = most;
        rate = most;
    }

    /**
     * Whether so many bytes may be copied now; they are taken then. More than the bucket holds may be taken from a full
     * one.
     */
    boolean tryAcquire(long now, long bytes) {
        if (at == Long.MIN_VALUE) {
            at = now;
        }
        double full = rate * BURST / 1e6;
        there = Math.min(full, there + rate * Math.max(0, now - at) / 1e6);
        at = Math.max(at, now);
        if (there < Math.min(bytes, full)) {
            return false;
        }
        there -= bytes; // below nothing for a chunk that is larger than the bucket: it fills again before the next
        return true;
    }

    /** A node has said how its queries fare. */
    void onLoad(long now, double load) {
        if (changed != Long.MIN_VALUE && now - changed < STEP) {
            return;
        }
        changed = now;
        rate = load >= SUFFERS ? Math.max(rate / 2, (double) most / SLOWEST)
                : Math.min(most, rate + (double) most / UP);
    }

    /** Bytes a second, now. */
    long rate() {
        return (long) rate;
    }
}
