package wallmoor.decision;

/**
 * A tenant.
 *
 * @param quotaPerSecond queries a second that it may send, over all gatherers
 * @param share          its share of the capacity
 */
public record Tenant(double quotaPerSecond, double share) {}
