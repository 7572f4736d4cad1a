package wallmoor.membership;

import java.util.List;

/**
 * The figures of a roster. Times are microseconds.
 *
 * @param sources  from the one whose word goes first to the one whose word goes last
 * @param step     no more than a share of a source's nodes leaves on its word within this time
 * @param confirm  so many good replies in a row must lack a node, where too many are lacking to be believed at once
 * @param linger   a node that leaves drains for so long before it is gone: more than the longest deadline
 * @param tombstone a node said to be gone stays so for this long after the last lower source has ceased to name it
 */
public record Policy(List<Source> sources, long step, int confirm, long linger, long tombstone, Holds.Figures holds) {
    private static final long SECOND = 1_000_000;

    /**
     * A source.
     *
     * @param trusted  believed at once in all it says, and its nodes are left to the decision module: the node list,
     *                 or the one source that a fleet has
     * @param mostAge  how long its last good news stands when it can't be heard; 0 for ever
     * @param leaving  the share of its nodes that may leave within a step, above 0 and up to 1
     * @param mostNodes more are a fault, and none of them is taken
     */
    public record Source(String name, boolean trusted, long mostAge, double leaving, int mostNodes) {

        /** Checks the bounds. */
        public Source {
            if (mostAge < 0 || !(leaving > 0 && leaving <= 1) || mostNodes < 1) {
                throw new IllegalArgumentException("source " + name + " is out of bounds");
            }
        }
    }

    /** Starting values for these sources; the operators' page gives their reasons. */
    public static Policy of(List<Source> sources) {
        return new Policy(List.copyOf(sources), 10 * SECOND, 3, 10 * SECOND, 600 * SECOND, Holds.Figures.USUAL);
    }

    /** Checks the bounds. */
    public Policy {
        if (step <= 0 || confirm < 1 || linger < 0 || tombstone < 0 || sources.isEmpty()
                || sources.stream().map(Source::name).distinct().count() != sources.size()) {
            throw new IllegalArgumentException("policy is out of bounds, or names a source twice");
        }
    }
}
