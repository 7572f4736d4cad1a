package wallmoor.client;

/**
 * An exponential backoff with jitter and a deadline, for a device's retries. Times are milliseconds.
 *
 * @param initialMillis  the first wait
 * @param maxMillis      the longest wait
 * @param deadlineMillis the time at which the device gives up
 */
public record RetryBackoff(long initialMillis, long maxMillis, long deadlineMillis) {
    /** Returned instead of a wait when the device has to give up. */
    public static final long GIVE_UP = -1;

    /**
     * Returns the wait before the next attempt, or {@link #GIVE_UP}.
     *
     * @param failures         how many attempts have failed in a row, from 1
     * @param retryAfterMillis the wait that the edge requested, or 0; it is added to the device's own backoff
     * @param random           from 0 to 1; half of each wait is random, so that devices that were disconnected at the
     *                         same time don't return at the same time
     */
    public long next(long now, int failures, long retryAfterMillis, double random) {
        long backoff = Math.min(maxMillis, initialMillis << Math.min(20, Math.max(0, failures - 1)));
        long wait = Math.max(retryAfterMillis, 0) + (long) (backoff * (0.5 + 0.5 * random));
        return now + wait >= deadlineMillis ? GIVE_UP : wait;
    }
}
