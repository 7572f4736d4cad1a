package wallmoor.idempotency;

/**
 * Spreads the retries of rejected devices: each gets the next slot of a queue that is served at a steady rate, so that
 * devices rejected within one second, as after an outage, return over many.
 */
final class RetryScheduler {
    private static final double MICROS_PER_SECOND = 1e6;

    private final IdempotencyLimits limits;
    private long nextSlot = Long.MIN_VALUE;

    RetryScheduler(IdempotencyLimits limits) {
        this.limits = limits;
    }

    /** Microseconds after which the next rejected device should retry. */
    long nextRetryAfter(long now) {
        long earliest = now + limits.minRetryAfter();
        long latest = now + limits.maxRetryAfter();
        nextSlot = Math.max(earliest, nextSlot + (long) (MICROS_PER_SECOND / limits.retryRate()));
        if (nextSlot > latest) { // the queue is full: slots are given out again from the start, still spread evenly
            nextSlot = earliest;
        }
        return nextSlot - now;
    }
}
