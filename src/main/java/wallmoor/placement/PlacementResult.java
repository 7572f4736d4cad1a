package wallmoor.placement;

import java.util.List;

/** What a fleet's planning came to. */
public sealed interface PlacementResult {
    /**
     * Moves, legal in this order and by their waves.
     *
     * @param copiedMb      what they copy, in megabytes
     * @param lowerBoundMb no plan copies less: proven
     * @param optimal   proven to be the least: the two are equal
     */
    record Plan(List<Move> moves, long copiedMb, long lowerBoundMb, boolean optimal) implements PlacementResult {}

    /**
     * No plan exists: proven.
     *
     * @param conflict  rules that no plan keeps together, whatever the others are
     * @param minimal no smaller set of rules is infeasible: proven
     */
    record Infeasible(List<PlacementConstraint> conflict, boolean minimal) implements PlacementResult {}

    /**
     * None was found, and none was shown not to exist.
     *
     * @param lowerBoundMb no plan copies less
     * @param placementsSeen  how many placements were looked at
     */
    record NotFound(long lowerBoundMb, int placementsSeen) implements PlacementResult {}
}
