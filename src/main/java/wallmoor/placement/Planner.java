package wallmoor.placement;

import java.util.List;
import wallmoor.placement.Model.Step;

/**
 * Plans moves in the least bytes. Small fleets are solved exactly or shown to have no plan; for large ones a plan comes
 * with a bound that no plan can be under. The same fleet always has the same answer.
 */
public final class Planner {
    /** Placements that one search may keep, of a few copies: some 200 MB of heap, seconds on one core. */
    private static final int PLACEMENTS = 300_000;
    /** A placement's size counts too: copies kept by one search, in all. */
    private static final long COPIES = 6_000_000;
    /** Moves that one placement may have: beyond it a search sees too few placements to be of use. */
    private static final long BRANCHES = 20_000;
    /** Windows tried for the level, from the bound's own to both sides, and their distance as a part of the level. */
    private static final int WINDOWS = 9;
    private static final int APART = 8;

    private Planner() {}

    /** Plans for a fleet. */
    public static Answer plan(Fleet fleet) {
        return plan(fleet, PLACEMENTS);
    }

    /** Plans for a fleet; a search keeps so many placements at most. */
    static Answer plan(Fleet fleet, int placements) {
        var model = new Model(fleet);
        if (MinimalConflict.proven(model)) {
            return MinimalConflict.of(fleet, placements);
        }
        Bound.Least bound = Bound.of(model);
        Draft draft = draft(model, bound);
        long most = draft == null ? Long.MAX_VALUE : draft.cost();
        long least = bound.mb();
        List<Step> steps = draft == null ? null : draft.made();
        int states = 0;
        if (most > least) {
            Exact.Found found = new Exact(model, budget(model, placements)).search(most);
            states = found.states();
            if (found.steps() != null) {
                steps = found.steps();
                most = found.mb();
                least = most;
            } else if (found.complete() && steps == null) {
                return MinimalConflict.of(fleet, placements);
            } else {
                least = found.complete() ? most : Math.max(least, Math.min(most, found.boundMb()));
            }
        }
        if (steps == null) {
            return new Answer.NotFound(least, states);
        }
        return new Answer.Plan(Waves.of(model, steps), most, least, most == least);
    }

    /** How many placements a search of this model may keep. */
    static int budget(Model model, int placements) {
        long copies = model.copies();
        return copies * model.nodes() > BRANCHES ? 1 : (int) Math.min(placements, COPIES / copies);
    }

    /** The cheapest of some drafts; null where none came to an end. */
    static Draft draft(Model model, Bound.Least bound) {
        Draft best = null;
        int windows = model.windowed ? WINDOWS : 1;
        for (int i = 0; i < windows * 2; i++) {
            int aside = (i / 2 + 1) / 2 * (i / 2 % 2 == 0 ? 1 : -1);
            int window = bound.window() + aside * Math.max(1, model.level / APART);
            if (window < 0 || window > Fleet.MILLION) {
                continue;
            }
            var draft = new Draft(model, window, i % 2 == 1);
            if (draft.make() && (best == null || draft.cost() < best.cost())) {
                best = draft;
                if (best.cost() == bound.mb()) {
                    break;
                }
            }
        }
        return best;
    }
}
