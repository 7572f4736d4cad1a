package wallmoor.endpoints;

import java.util.List;

/**
 * The figures of a roster. Times are microseconds.
 *
 * @param sources  from the one whose word goes first to the one whose word goes last
 * @param removalWindowMicros     no more than a share of a source's nodes leaves on its word within this time
 * @param confirmations  so many good replies in a row must lack a node, where too many are lacking to be believed at
 *                       once
 * @param drainMicros   a node that leaves drains for so long before it is gone: more than the longest deadline
 * @param tombstoneMicros a node said to be gone stays so for this long after the last lower source has ceased to name
 *                        it
 */
public record RegistryPolicy(List<SourcePolicy> sources, long removalWindowMicros, int confirmations, long drainMicros,
        long tombstoneMicros, FlapDamping.DampingParameters damping) {
    private static final long SECOND = 1_000_000;

    /**
     * A source.
     *
     * @param trusted  believed at once in all it says, and its nodes are left to the decision module: the node list,
     *                 or the one source that a fleet has
     * @param maxStalenessMicros  how long its last good news stands when it can't be heard; 0 for ever
     * @param removalShare  the share of its nodes that may leave within a step, above 0 and up to 1
     * @param maxEndpoints more are a fault, and none of them is taken
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

    /** Starting values for these sources; the operators' page gives their reasons. */
    public static RegistryPolicy of(List<SourcePolicy> sources) {
        return new RegistryPolicy(List.copyOf(sources), 10 * SECOND, 3, 10 * SECOND, 600 * SECOND,
                FlapDamping.DampingParameters.USUAL);
    }

    /** Checks the bounds. */
    public RegistryPolicy {
        if (removalWindowMicros <= 0 || confirmations < 1 || drainMicros < 0 || tombstoneMicros < 0 || sources.isEmpty()
                || sources.stream().map(SourcePolicy::name).distinct().count() != sources.size()) {
            throw new IllegalArgumentException("policy is out of bounds, or names a source twice");
        }
    }
}
