package wallmoor.decision;

/**
 * Rules that the platform checks: graceful shutdown, slow start, and the retry budget. Times are in microseconds.
 *
 * @param answerGrace        an answer may be this much later than its deadline
 * @param drainGrace         a draining worker may still get parts for this long
 * @param slowStartShare     share of its capacity that a worker has right after its start
 * @param slowStartWindow    time from its start to its full capacity
 * @param overloadMultiple   a worker in slow start falls over above this multiple of its capacity ...
 * @param overloadWindow     ... over this time
 * @param pollWithin         the list has to be asked for within this time
 * @param retryBudgetWindow  time over which retries are counted; 0 means that there is no budget
 * @param retryBudgetMinimum retries that are always allowed within the window
 * @param retryBudgetRatio   further retries allowed, per query or part that arrived within the window
 */
public record PlatformRules(long answerGrace, long drainGrace, double slowStartShare, long slowStartWindow,
        double overloadMultiple, long overloadWindow, long pollWithin, long retryBudgetWindow,
        double retryBudgetMinimum, double retryBudgetRatio) {}
