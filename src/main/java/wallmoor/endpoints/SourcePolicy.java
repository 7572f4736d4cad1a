package wallmoor.endpoints;

/**
 * The registry's policy for one source.
 *
 * @param name               the source's name, as in its watch events
 * @param trusted            whether all its claims take effect at once, and the registry leaves it to the decision
 *                           module to avoid failing endpoints; so for the endpoint list, or a fleet's only source
 * @param maxStalenessMicros how long its last report stays valid while it can't be reached (RFC 8767); 0 for no limit
 * @param removalShare       the share of its endpoints that may be removed within a window, above 0 and up to 1
 * @param maxEndpoints       the most endpoints that it may name; an event that exceeds this is rejected
 */
public record SourcePolicy(String name, boolean trusted, long maxStalenessMicros, double removalShare,
        int maxEndpoints) {

    /** Checks the bounds. */
    public SourcePolicy {
        if (maxStalenessMicros < 0 || !(removalShare > 0 && removalShare <= 1) || maxEndpoints < 1) {
            throw new IllegalArgumentException("policy of source " + name + " out of bounds: maxStalenessMicros="
                    + maxStalenessMicros + " (at least 0), removalShare=" + removalShare
                    + " (above 0, up to 1), maxEndpoints=" + maxEndpoints + " (at least 1)");
        }
    }
}
