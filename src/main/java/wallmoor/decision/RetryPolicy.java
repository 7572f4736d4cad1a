package wallmoor.decision;

/**
 * Decides whether a part may be sent, or sent again, by the limit on attempts, the time left, and the effect of a
 * second execution. A part that is not idempotent is sent again only while no attempt may have been executed; a part
 * with an idempotency key only within the store's deduplication window.
 */
final class RetryPolicy {
    private final PolicyContext context;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    /**
     * Returns whether a further attempt of this part is allowed and in time, apart from attempts in flight and the
     * retry budget.
     */
    boolean mayAttempt(TrackedPart part) {
        return !part.finished && part.attemptCount < context.settings().limits().maxAttempts()
                && hasTimeFor(part.query) && (part.attemptCount == 0 || context.now() < retryUntil(part));
    }

    /**
     * Returns until when a part may be sent again (microseconds), counted from the send of the first attempt that may
     * have been executed.
     */
    long retryUntil(TrackedPart part) {
        QueryClass queryClass = part.query.queryClass;
        if (queryClass.idempotency() == Idempotency.IDEMPOTENT || !part.mayHaveExecuted()) {
            return Long.MAX_VALUE;
        }
        if (queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return 0;
        }
        return part.firstPossibleExecution() + queryClass.deduplicationWindow()
                - 2 * context.settings().roundInterval();
    }

    /**
     * Returns the time from now within which an attempt must start: for a part with an idempotency key, within the
     * deduplication window. This also holds for a first attempt that a parallel attempt may overtake. Returns {@link
     * Long#MAX_VALUE} if there is no such bound.
     */
    long maxStartDelay(TrackedPart part) {
        boolean isBounded = part.query.queryClass.idempotency() == Idempotency.WITH_KEY
                && (part.possiblyExecuted.size() > 1 || context.settings().limits().parallelAttempts());
        return isBounded ? retryUntil(part) - context.now() : Long.MAX_VALUE;
    }

    /** Returns whether there is time for an answer that earns anything. */
    private boolean hasTimeFor(TrackedQuery query) {
        return query.usefulUntil() - context.now() > TuningParameters.MIN_LATENCIES_LEFT
                * context.typicalLatency(query.classIndex);
    }
}
