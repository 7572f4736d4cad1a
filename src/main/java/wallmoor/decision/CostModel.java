package wallmoor.decision;

/**
 * Prices that bear on decisions, in shares of the result.
 *
 * @param crossZone        of a part sent to another zone
 * @param waste            of work done for nothing
 * @param lateFailure      of a query that fails late
 * @param healthCheck      of a health check
 * @param gossipMessage    of a message to another gatherer
 * @param worstServedClass what the share of the class served worst counts, over what the share of the whole does
 */
public record CostModel(double crossZone, double waste, double lateFailure, double healthCheck, double gossipMessage,
        double worstServedClass) {}
