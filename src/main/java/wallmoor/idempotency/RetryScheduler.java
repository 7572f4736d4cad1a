package wallmoor.idempotency;

/**
 * When those that are turned away should come back: each gets a place of its own in a queue that is served at a steady
 * rate, so that a thousand that came within a second after an outage come back over many. Pure.
 */
final class RetryScheduler {
    private final IdempotencyLimits rules;
    private long next = Long.MIN_VALUE;

    RetryScheduler(IdempotencyLimits rules) {
        this.rules = rules;
    }

    /** Microseconds after which the next one should come back. */
    long after(long now) {
        long earliest = now + rules.minRetryAfter();
        long latest = now + rules.maxRetryAfter();
        next = Math.max(earliest, next + (long) (1e6 / rules.retryRate()));
        if (next > latest) { // more than the queue holds: they wrap round, which is still spread evenly
            next = earliest;
        }
        return next - now;
    }
}
