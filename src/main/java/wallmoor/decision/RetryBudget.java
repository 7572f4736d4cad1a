package wallmoor.decision;

/**
 * The retry budget: the retries within a window stay below a minimum plus a share of the queries and parts that arrived
 * within that window.
 */
final class RetryBudget {
    private final PolicyContext context;
    /**
     * Queries and parts that arrived. The window is one round shorter, so that this count never exceeds the platform's.
     */
    private final SlidingWindowSum arrivals;
    /**
     * Retries and hedged requests. The window is one round longer, so that this count is never below the platform's.
     */
    private final SlidingWindowSum retries;

    RetryBudget(PolicyContext context) {
        this.context = context;
        RoutingSettings settings = context.settings();
        long window = settings.rules().retryBudgetWindow();
        arrivals = new SlidingWindowSum(Math.max(1, window - settings.roundInterval()));
        retries = new SlidingWindowSum(window + settings.roundInterval());
    }

    /** Records the arrival of a query or a part. */
    void recordArrival() {
        arrivals.add(context.now(), 1);
    }

    /** Records that a retry or a hedged request is sent. */
    void recordRetry() {
        retries.add(context.now(), 1);
    }

    /** Returns whether one more retry is within the budget, or there is no budget. */
    boolean allowsRetry() {
        PlatformRules rules = context.settings().rules();
        return rules.retryBudgetWindow() <= 0 || retries.sum(context.now()) + 1 <= rules.retryBudgetMinimum()
                + rules.retryBudgetRatio() * arrivals.sum(context.now());
    }
}
