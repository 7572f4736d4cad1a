package wallmoor.placement;

import java.util.List;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Plans the moves that copy the fewest bytes. Small problems are solved exactly or proven infeasible; for large ones
 * the plan comes with a lower bound on what any plan copies. The same problem always has the same result.
 */
public final class PlacementPlanner {
    /** Number of placements of few replicas that one search may store: about 200 MB of heap, seconds on one core. */
    private static final int MAX_PLACEMENTS = 300_000;
    /** Number of replicas in all placements that one search stores; it limits the memory of large placements. */
    private static final long MAX_STORED_REPLICAS = 6_000_000;
    /** Number of moves from one placement; with more, a search sees too few placements to be useful. */
    private static final long MAX_MOVES_PER_PLACEMENT = 20_000;
    /** Number of windows tried for the level: the lower bound's own window, then windows on both sides of it. */
    private static final int WINDOW_COUNT = 9;
    /** Divides the level into the distance between the windows that are tried. */
    private static final int WINDOW_STEP_DIVISOR = 8;

    private PlacementPlanner() {}

    /** Plans the moves for a problem. */
    public static PlacementResult plan(PlacementProblem problem) {
        return plan(problem, MAX_PLACEMENTS);
    }

    /** Plans the moves for a problem; a search stores at most {@code maxPlacements} placements. */
    static PlacementResult plan(PlacementProblem problem, int maxPlacements) {
        var model = new PlacementModel(problem);
        if (PlacementConflictFinder.isProvenInfeasible(model)) {
            return PlacementConflictFinder.of(problem, maxPlacements);
        }
        CopyLowerBound.WindowBound bound = CopyLowerBound.of(model);
        GreedyPlanner greedyPlan = bestGreedyPlan(model, bound);
        long upperBoundMb = greedyPlan == null ? Long.MAX_VALUE : greedyPlan.copiedMb();
        long lowerBoundMb = bound.copiedMb();
        List<ReplicaMove> moves = greedyPlan == null ? null : greedyPlan.moves();
        int placementsSeen = 0;
        if (upperBoundMb > lowerBoundMb) {
            AStarSearch.SearchResult found = new AStarSearch(model, searchBudget(model, maxPlacements))
                    .search(upperBoundMb);
            placementsSeen = found.placementsSeen();
            if (found.moves() != null) {
                moves = found.moves();
                upperBoundMb = found.copiedMb();
                lowerBoundMb = upperBoundMb;
            } else if (found.complete() && moves == null) {
                return PlacementConflictFinder.of(problem, maxPlacements);
            } else {
                lowerBoundMb = found.complete()
                        ? upperBoundMb
                        : Math.max(lowerBoundMb, Math.min(upperBoundMb, found.lowerBoundMb()));
            }
        }
        if (moves == null) {
            return new PlacementResult.NotFound(lowerBoundMb, placementsSeen);
        }
        return new PlacementResult.Plan(WaveScheduler.schedule(model, moves), upperBoundMb, lowerBoundMb,
                upperBoundMb == lowerBoundMb);
    }

    /** Returns how many placements a search of this model may store. */
    static int searchBudget(PlacementModel model, int maxPlacements) {
        long replicas = model.replicaCount();
        return replicas * model.nodeCount() > MAX_MOVES_PER_PLACEMENT
                ? 1
                : (int) Math.min(maxPlacements, MAX_STORED_REPLICAS / replicas);
    }

    /** Returns the cheapest of several greedy plans, or null if none satisfies all constraints. */
    static GreedyPlanner bestGreedyPlan(PlacementModel model, CopyLowerBound.WindowBound bound) {
        GreedyPlanner best = null;
        int windows = model.windowed ? WINDOW_COUNT : 1;
        for (int i = 0; i < windows * 2; i++) {
            int shift = (i / 2 + 1) / 2 * (i / 2 % 2 == 0 ? 1 : -1);
            int window = bound.window() + shift * Math.max(1, model.level / WINDOW_STEP_DIVISOR);
            if (window < 0 || window > PlacementProblem.MILLION) {
                continue;
            }
            var greedyPlan = new GreedyPlanner(model, window, i % 2 == 1);
            if (greedyPlan.build() && (best == null || greedyPlan.copiedMb() < best.copiedMb())) {
                best = greedyPlan;
                if (best.copiedMb() == bound.copiedMb()) {
                    break;
                }
            }
        }
        return best;
    }
}
