package wallmoor.decision;

/**
 * What the platform allows a gatherer. Times are in microseconds.
 *
 * @param cancellation     attempts may be cancelled
 * @param parallelAttempts a part may have two attempts in flight (hedged requests)
 * @param healthChecks     workers may be probed
 * @param gossip           gatherers may send each other messages
 * @param retryAfter       a rejection may say when to come back
 * @param maxRetryAfter    the longest such time
 * @param maxAttempts      attempts of one part, the first included
 * @param maxInFlight      queries and parts that may be held at once
 * @param maxBatch         parts that may share one call to a worker
 * @param connectTimeout   time after which a connect fails; 0 means that it is not known
 */
public record PlatformLimits(boolean cancellation, boolean parallelAttempts, boolean healthChecks, boolean gossip,
        boolean retryAfter, long maxRetryAfter, int maxAttempts, int maxInFlight, int maxBatch, long connectTimeout) {}
