package wallmoor.decision;

/**
 * The limits that the platform imposes on a gatherer. Times are in microseconds.
 *
 * @param cancellation     whether attempts may be cancelled
 * @param parallelAttempts whether a part may have two attempts in flight (hedged requests)
 * @param healthChecks     whether workers may be probed
 * @param gossip           whether gatherers may send each other messages
 * @param retryAfter       whether a rejection may contain a Retry-After time
 * @param maxRetryAfter    the longest Retry-After time
 * @param maxAttempts      the maximum number of attempts of one part, the first included
 * @param maxInFlight      the maximum number of open queries and parts
 * @param maxBatch         the maximum number of parts in one call to a worker
 * @param connectTimeout   time after which a connect fails; 0 if unknown
 */
public record PlatformLimits(boolean cancellation, boolean parallelAttempts, boolean healthChecks, boolean gossip,
        boolean retryAfter, long maxRetryAfter, int maxAttempts, int maxInFlight, int maxBatch, long connectTimeout) {}
