package wallmoor.placement;

import java.util.List;

/** Result of planning the moves of a {@link PlacementProblem}. */
public sealed interface PlacementResult {
    /**
     * Moves, legal one by one in this order and concurrently in their waves.
     *
     * @param copiedMb     megabytes that they copy
     * @param lowerBoundMb proven: no plan copies less
     * @param optimal      proven: the two are equal
     */
    record Plan(List<Move> moves, long copiedMb, long lowerBoundMb, boolean optimal) implements PlacementResult {}

    /**
     * Proven: no plan exists.
     *
     * @param conflict constraints that no plan satisfies together, whatever the others are
     * @param minimal  proven: no smaller set of constraints is unsatisfiable
     */
    record Infeasible(List<PlacementConstraint> conflict, boolean minimal) implements PlacementResult {}

    /**
     * No plan was found, and none was proven not to exist.
     *
     * @param lowerBoundMb   no plan copies less
     * @param placementsSeen placements that were searched
     */
    record NotFound(long lowerBoundMb, int placementsSeen) implements PlacementResult {}
}
