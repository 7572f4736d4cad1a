package wallmoor.decision;

import java.util.Map;

/**
 * The end of one attempt.
 *
 * @param part       the part's id
 * @param attempt    the attempt's number among those of the part, from 0
 * @param worker     the worker's id
 * @param reason     how it ended
 * @param duration   time since it was sent (microseconds)
 * @param partOver   the part takes no further attempt
 * @param loadReport what the worker reported of its load; empty where it reported nothing
 */
public record AttemptEnded(String part, int attempt, String worker, AttemptEndReason reason, long duration,
        boolean partOver, Map<LoadMetric, Double> loadReport) {}
