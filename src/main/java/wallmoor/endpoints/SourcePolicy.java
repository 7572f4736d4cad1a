package wallmoor.endpoints;

/**
 * What the registry grants one source.
 *
 * @param name               the source's name, as in its watch events
 * @param trusted            whether it is believed at once in all it says, and its endpoints are left to the decision
 *                           module: the endpoint list, or the one source that a fleet has
 * @param maxStalenessMicros how long its last good report holds while it can't be reached; 0 for ever (RFC 8767)
 * @param removalShare       the share of its endpoints that may be removed within a window, above 0 and up to 1
 * @param maxEndpoints       more are a fault, and none of them is applied
 */
public record SourcePolicy(String name, boolean trusted, long maxStalenessMicros, double removalShare,
        int maxEndpoints) {

    /** Checks the bounds. */
    public SourcePolicy {
        if (maxStalenessMicros < 0 || !(removalShare > 0 && removalShare <= 1) || maxEndpoints < 1) {
            throw new IllegalArgumentException("source " + name + " is out of bounds");
        }
    }
}
