package wallmoor.endpoints;

/**
 * Limits how many endpoints are removed on one source's claim: within each window at most a share of its endpoints, but
 * at least one. A window starts at the first refill after the previous one has ended. Times are in microseconds.
 */
final class RemovalRateLimit {
    private final double share;
    private final long windowMicros;
    /** Initially so long ago that the first refill starts a window. */
    private long windowStartedAt = Long.MIN_VALUE / 2;
    private int remaining;

    /**
     * Creates a limit.
     *
     * @param share the share of the endpoints that may be removed within a window, above 0 and up to 1
     */
    RemovalRateLimit(double share, long windowMicros) {
        this.share = share;
        this.windowMicros = windowMicros;
    }

    /**
     * Starts a new window if the previous one has ended.
     *
     * @param endpoints the number of endpoints that the source names now
     */
    void refill(long now, int endpoints) {
        if (now - windowStartedAt >= windowMicros) {
            windowStartedAt = now;
            remaining = Math.max(1, (int) (share * endpoints));
        }
    }

    /** Returns whether another endpoint may be removed within the current window. */
    boolean hasRemaining() {
        return remaining > 0;
    }

    /** Counts a removal. */
    void use() {
        remaining--;
    }

    /** Returns when the next window can start. */
    long nextWindowAt() {
        return windowStartedAt + windowMicros;
    }
}
