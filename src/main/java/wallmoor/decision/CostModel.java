package wallmoor.decision;

/**
 * Costs that influence decisions, as shares of the result.
 *
 * @param crossZone        cost of a part sent to another zone
 * @param waste            cost of work whose result is not used
 * @param lateFailure      cost of a query that fails late
 * @param healthCheck      cost of a health check
 * @param gossipMessage    cost of a message to another gatherer
 * @param worstClassWeight weight of the worst-served class's share, relative to the overall share
 */
public record CostModel(double crossZone, double waste, double lateFailure, double healthCheck, double gossipMessage,
        double worstClassWeight) {}
