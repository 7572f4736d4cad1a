package wallmoor.endpoints;

/**
 * Bounds how many endpoints are removed on one source's claim: at most a share of them, and one at least, within each
 * window. A window starts with the first use after the one before has ended. Times are microseconds.
 */
final class RemovalRateLimit {
    private final double share;
    private final long windowMicros;
    /** Long enough ago that the first use starts a window. */
    private long windowStartedAt = Long.MIN_VALUE / 2;
    private int remaining;

    /**
     * Makes a limit.
     *
     * @param share above 0 and up to 1
     */
    RemovalRateLimit(double share, long windowMicros) {
        this.share = share;
        this.windowMicros = windowMicros;
    }

    /** Starts a new window where the one before has ended; {@code endpoints} is how many there are now. */
    void refill(long now, int endpoints) {
        if (now - windowStartedAt >= windowMicros) {
            windowStartedAt = now;
            remaining = Math.max(1, (int) (share * endpoints));
        }
    }

    /** Whether one more may be removed within this window. */
    boolean hasRemaining() {
        return remaining > 0;
    }

    /** Counts a removal. */
    void use() {
        remaining--;
    }

    /** When the next window may start. */
    long nextWindowAt() {
        return windowStartedAt + windowMicros;
    }
}
