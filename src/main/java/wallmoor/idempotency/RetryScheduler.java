package wallmoor.idempotency;

/**
 * Spreads the retries of rejected devices. Each device gets the next slot of a queue that is served at a constant rate,
 * so that devices that were rejected within one second, as after an outage, retry over many seconds.
 */
final class RetryScheduler {
    private static final double MICROS_PER_SECOND = 1e6;

    private final IdempotencyLimits limits;
    private long nextSlot = Long.MIN_VALUE;

    RetryScheduler(IdempotencyLimits limits) {
        this.limits = limits;
    }

    /** Returns the time after which the next rejected device should retry (microseconds). */
    long nextRetryAfter(long now) {
        long earliest = now + limits.minRetryAfter();
        long latest = now + limits.maxRetryAfter();
        nextSlot = Math.max(earliest, nextSlot + (long) (MICROS_PER_SECOND / limits.retryRate()));
        if (nextSlot > latest) { // the queue is full: slots are assigned again from the start, still evenly spread
            nextSlot = earliest;
        }
        return nextSlot - now;
    }
}
