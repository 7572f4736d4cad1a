package wallmoor.decision;

/**
 * Whether a part may be sent, and sent again: the limit on attempts, the time that is left, and what a second execution
 * does. A part that is not idempotent goes again only while no attempt may have been executed; one with an idempotency
 * key only within the store's deduplication window.
 */
final class RetryPolicy {
    private final PolicyContext context;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    /** Whether an attempt for this part is allowed and in time, were none in flight and the retry budget open. */
    boolean mayAttempt(TrackedPart part) {
        return !part.finished && part.attemptCount < context.settings().limits().maxAttempts()
                && hasTimeFor(part.query) && (part.attemptCount == 0 || context.now() < retryUntil(part));
    }

    /** Until when a part may be sent again, counted from the send of the first attempt that may have been executed. */
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
     * Within what time an attempt has to begin: with an idempotency key within the deduplication window, the first
     * attempt too if a second one may overtake it. {@link Long#MAX_VALUE} where nothing bounds it.
     */
    long beginWithin(TrackedPart part) {
        boolean bound = part.query.queryClass.idempotency() == Idempotency.WITH_KEY
                && (part.possiblyExecuted.size() > 1 || context.settings().limits().parallelAttempts());
        return bound ? retryUntil(part) - context.now() : Long.MAX_VALUE;
    }

    /** Whether there is time for an answer that earns anything. */
    private boolean hasTimeFor(TrackedQuery query) {
        return query.usefulUntil() - context.now() > TuningParameters.MIN_LATENCIES_LEFT
                * context.typicalLatency(query.classIndex);
    }
}
