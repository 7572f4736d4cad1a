package wallmoor.decision;

/**
 * The retry budget: retries within a window stay below a minimum and a share of what arrived within the same window.
 */
final class RetryBudget {
    private final PolicyContext context;
    /** Queries and parts that arrived. Counted a round short, so that what the platform counts is never less. */
    private final SlidingWindowSum arrivals;
    /** Retries and hedged requests. Counted a round longer, for the same reason. */
    private final SlidingWindowSum retries;

    RetryBudget(PolicyContext context) {
        this.context = context;
        RoutingSettings settings = context.settings();
        long window = settings.rules().retryBudgetWindow();
        arrivals = new SlidingWindowSum(Math.max(1, window - settings.roundInterval()));
        retries = new SlidingWindowSum(window + settings.roundInterval());
    }

    /** A query or a part has arrived. */
    void recordArrival() {
        arrivals.add(context.now(), 1);
    }

    /** A retry or a hedged request goes out. */
    void recordRetry() {
        retries.add(context.now(), 1);
    }

    /** Whether one more retry is within the budget, or there is none. */
    boolean allowsRetry() {
        PlatformRules rules = context.settings().rules();
        return rules.retryBudgetWindow() <= 0 || retries.sum(context.now()) + 1 <= rules.retryBudgetMinimum()
                + rules.retryBudgetRatio() * arrivals.sum(context.now());
    }
}
