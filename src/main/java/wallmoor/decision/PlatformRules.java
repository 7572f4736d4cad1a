package wallmoor.decision;

/**
 * Rules that the platform checks: graceful shutdown, slow start, and the retry budget. Times are in microseconds.
 *
 * @param answerGrace        time by which an answer may miss its deadline
 * @param drainGrace         time for which a draining worker may still get parts
 * @param slowStartShare     share of its capacity that a worker has right after its start
 * @param slowStartWindow    time from a worker's start to its full capacity
 * @param overloadMultiple   multiple of its current capacity above which a worker in slow start fails, if exceeded over
 *                           {@code overloadWindow}
 * @param overloadWindow     time over which the load of a worker in slow start is measured
 * @param pollWithin         time within which the worker list has to be requested
 * @param retryBudgetWindow  time over which retries are counted; 0 if there is no budget
 * @param retryBudgetMinimum retries that are always allowed within the window
 * @param retryBudgetRatio   further retries allowed, per query or part that arrived within the window
 */
public record PlatformRules(long answerGrace, long drainGrace, double slowStartShare, long slowStartWindow,
        double overloadMultiple, long overloadWindow, long pollWithin, long retryBudgetWindow,
        double retryBudgetMinimum, double retryBudgetRatio) {}
