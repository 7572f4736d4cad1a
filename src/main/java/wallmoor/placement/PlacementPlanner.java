package wallmoor.placement;

import java.util.List;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Plans moves in the least bytes. Small fleets are solved exactly or shown to have no plan; for large ones a plan comes
 * with a bound that no plan can be under. The same fleet always has the same answer.
 */
public final class PlacementPlanner {
    /** Placements that one search may keep, of a few copies: some 200 MB of heap, seconds on one core. */
    private static final int PLACEMENTS = 300_000;
    /** A placement's size counts too: copies kept by one search, in all. */
    private static final long COPIES = 6_000_000;
    /** Moves that one placement may have: beyond it a search sees too few placements to be of use. */
    private static final long BRANCHES = 20_000;
    /** Windows tried for the level, from the bound's own to both sides, and their distance as a part of the level. */
    private static final int WINDOWS = 9;
    private static final int APART = 8;

    private PlacementPlanner() {}

    /** Plans for a fleet. */
    public static PlacementResult plan(PlacementProblem fleet) {
        return plan(fleet, PLACEMENTS);
    }

    /** Plans for a fleet; a search keeps so many placements at most. */
    static PlacementResult plan(PlacementProblem fleet, int placements) {
        var model = new PlacementModel(fleet);
        if (PlacementConflictFinder.proven(model)) {
            return PlacementConflictFinder.of(fleet, placements);
        }
        CopyLowerBound.WindowBound bound = CopyLowerBound.of(model);
        GreedyPlanner draft = draft(model, bound);
        long most = draft == null ? Long.MAX_VALUE : draft.cost();
        long least = bound.copiedMb();
        List<ReplicaMove> steps = draft == null ? null : draft.moves();
        int states = 0;
        if (most > least) {
            AStarSearch.SearchResult found = new AStarSearch(model, budget(model, placements)).search(most);
            states = found.placementsSeen();
            if (found.moves() != null) {
                steps = found.moves();
                most = found.copiedMb();
                least = most;
            } else if (found.complete() && steps == null) {
                return PlacementConflictFinder.of(fleet, placements);
            } else {
                least = found.complete() ? most : Math.max(least, Math.min(most, found.lowerBoundMb()));
            }
        }
        if (steps == null) {
            return new PlacementResult.NotFound(least, states);
        }
        return new PlacementResult.Plan(WaveScheduler.schedule(model, steps), most, least, most == least);
    }

    /** How many placements a search of this model may keep. */
    static int budget(PlacementModel model, int placements) {
        long copies = model.copies();
        return copies * model.nodes() > BRANCHES ? 1 : (int) Math.min(placements, COPIES / copies);
    }

    /** The cheapest of some drafts; null where none came to an end. */
    static GreedyPlanner draft(PlacementModel model, CopyLowerBound.WindowBound bound) {
        GreedyPlanner best = null;
        int windows = model.windowed ? WINDOWS : 1;
        for (int i = 0; i < windows * 2; i++) {
            int aside = (i / 2 + 1) / 2 * (i / 2 % 2 == 0 ? 1 : -1);
            int window = bound.window() + aside * Math.max(1, model.level / APART);
            if (window < 0 || window > PlacementProblem.MILLION) {
                continue;
            }
            var draft = new GreedyPlanner(model, window, i % 2 == 1);
            if (draft.build() && (best == null || draft.cost() < best.cost())) {
                best = draft;
                if (best.cost() == bound.copiedMb()) {
                    break;
                }
            }
        }
        return best;
    }
}
