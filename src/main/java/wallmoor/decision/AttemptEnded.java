package wallmoor.decision;

import java.util.Map;

/**
 * The end of one attempt.
 *
 * @param part         the part's id
 * @param attempt      the attempt's number among those of the part, from 0
 * @param worker       the worker's id
 * @param reason       why it ended
 * @param duration     the time since the attempt was sent (microseconds)
 * @param partFinished whether the part takes no further attempt
 * @param loadReport   the load that the worker reported; empty if it reported none
 */
public record AttemptEnded(String part, int attempt, String worker, AttemptEndReason reason, long duration,
        boolean partFinished, Map<LoadMetric, Double> loadReport) {}
