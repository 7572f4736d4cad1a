package wallmoor.decision;

/**
 * A tenant.
 *
 * @param quotaPerSecond queries per second that it may send, over all gatherers
 * @param share          its share of the capacity
 */
public record Tenant(double quotaPerSecond, double share) {}
