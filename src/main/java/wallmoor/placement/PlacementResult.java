package wallmoor.placement;

import java.util.List;

/** The result of planning the moves for a {@link PlacementProblem}. */
public sealed interface PlacementResult {
    /**
     * A plan, whose moves are legal one by one in this order, and concurrently within their waves.
     *
     * @param copiedMb     megabytes that the moves copy
     * @param lowerBoundMb megabytes that every plan is proven to copy at least
     * @param optimal      whether the plan is proven to copy the least, that is, both values are equal
     */
    record Plan(List<Move> moves, long copiedMb, long lowerBoundMb, boolean optimal) implements PlacementResult {}

    /**
     * A proof that no plan exists.
     *
     * @param conflict constraints that no plan satisfies together, regardless of all others
     * @param minimal  whether it is proven that no smaller set of constraints is unsatisfiable
     */
    record Infeasible(List<PlacementConstraint> conflict, boolean minimal) implements PlacementResult {}

    /**
     * No plan was found, and it was not proven that none exists.
     *
     * @param lowerBoundMb   megabytes that every plan copies at least
     * @param placementsSeen number of placements that the search reached
     */
    record NotFound(long lowerBoundMb, int placementsSeen) implements PlacementResult {}
}
