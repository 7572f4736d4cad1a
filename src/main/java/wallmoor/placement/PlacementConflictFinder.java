package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Why there is no plan: the fewest rules that can't be kept together. Found by hitting sets: whatever rules can be
 * kept together, one of those left out is a reason; so the fewest that hit all such sets are tried, until they can't
 * be kept. Where that would take too long, rules are left out as long as a proof stands without them.
 */
final class PlacementConflictFinder {
    /** Rules of a fleet whose fewest reasons are looked for: each look may be a search of its own. */
    private static final int MOST_RULES = 40;
    /**
     * What one search may keep, as a part of a plan's placements: there are many; all together may keep twice a
     * plan's.
     */
    private static final int PART = 5;
    /** Sets of rules that a proof of a large fleet is tried with; each takes some thirty milliseconds. */
    private static final int LOOKS = 200;
    private static final List<Predicate<PlacementModel>> PROOFS = List.of(CapacityProof::proven,
            m -> CopyLowerBound.of(m).copiedMb() == CopyLowerBound.INFEASIBLE, AStarSearch::stuck);

    private enum Feasibility {
        FEASIBLE, INFEASIBLE, UNKNOWN
    }

    private final PlacementProblem fleet;
    private final List<PlacementConstraint> rules;
    private final int placements;
    private long left;

    private PlacementConflictFinder(PlacementProblem fleet, int placements) {
        this.fleet = fleet;
        this.placements = placements;
        left = 2L * placements;
        this.rules = PlacementModel.rules(fleet);
    }

    /** The reasons of a fleet that is known to have no plan; {@code placements} is what a plan's search may keep. */
    static PlacementResult.Infeasible of(PlacementProblem fleet, int placements) {
        var because = new PlacementConflictFinder(fleet, placements);
        boolean few = because.rules.size() <= MOST_RULES;
        PlacementResult.Infeasible fewest = few ? because.fewest() : null;
        because.left = 2L * placements;
        if (fewest != null) {
            return fewest;
        }
        Predicate<PlacementModel> quick = PROOFS.stream().filter(p -> p.test(new PlacementModel(fleet))).findFirst()
                .orElse(m -> false);
        return new PlacementResult.Infeasible(because.fewer(quick, few), false);
    }

    /** Whether a quick proof shows that a model's rules can't be kept. */
    static boolean proven(PlacementModel model) {
        return PROOFS.stream().anyMatch(p -> p.test(model));
    }

    /**
     * By hitting sets; null where the searches it takes are too many. Rules that may or may not go together count as
     * if they did.
     */
    private PlacementResult.Infeasible fewest() {
        List<Set<Integer>> toHit = new ArrayList<>();
        boolean sure = true;
        while (left > 0) {
            Set<Integer> hit = hit(toHit);
            if (hit == null) {
                return null;
            }
            Feasibility verdict = verdict(reasons(hit));
            if (verdict == Feasibility.INFEASIBLE) {
                return new PlacementResult.Infeasible(reasons(hit), sure);
            }
            sure &= verdict == Feasibility.FEASIBLE;
            Set<Integer> kept = new HashSet<>(hit);
            Set<Integer> out = new HashSet<>();
            for (int r = 0; r < rules.size(); r++) {
                if (kept.add(r)) {
                    Feasibility with = verdict(reasons(kept));
                    sure &= with != Feasibility.UNKNOWN;
                    if (with == Feasibility.INFEASIBLE) {
                        kept.remove(r);
                        out.add(r);
                    }
                }
            }
            toHit.add(out);
        }
        return null;
    }

    /** The fewest rules of which one is in each set; null where a set is empty. */
    private Set<Integer> hit(List<Set<Integer>> sets) {
        for (int size = 0; size <= rules.size(); size++) {
            Set<Integer> found = hit(sets, new HashSet<>(), size);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Set<Integer> hit(List<Set<Integer>> sets, Set<Integer> taken, int more) {
        left--; // wide sets take long to hit: that counts as the searches do
        Set<Integer> missed = sets.stream().filter(s -> s.stream().noneMatch(taken::contains)).findFirst().orElse(null);
        if (missed == null) {
            return taken;
        }
        if (more == 0 || left <= 0) {
            return null;
        }
        for (int r : missed) {
            Set<Integer> with = new HashSet<>(taken);
            with.add(r);
            Set<Integer> found = hit(sets, with, more - 1);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Feasibility verdict(List<PlacementConstraint> kept) {
        var model = new PlacementModel(fleet, kept);
        if (!proven(model)) {
            if (PlacementPlanner.draft(model, CopyLowerBound.of(model)) != null) {
                return Feasibility.FEASIBLE;
            }
            int most = (int) Math.min(Math.min(placements / PART, left), PlacementPlanner.budget(model, placements));
            AStarSearch.SearchResult found = new AStarSearch(model, most).search(Long.MAX_VALUE);
            left -= found.placementsSeen();
            return found.moves() != null ? Feasibility.FEASIBLE
                    : found.complete() ? Feasibility.INFEASIBLE : Feasibility.UNKNOWN;
        }
        return Feasibility.INFEASIBLE;
    }

    private List<PlacementConstraint> reasons(Set<Integer> which) {
        return which.stream().sorted().map(rules::get).toList();
    }

    /** Leaves rules out, many at a time and then few, as long as a proof stands: a quick one, or by a search. */
    private List<PlacementConstraint> fewer(Predicate<PlacementModel> quick, boolean search) {
        int looks = LOOKS;
        List<PlacementConstraint> kept = rules;
        for (int some = Integer.highestOneBit(Math.max(1, kept.size() / 2)); some >= 1; some /= 2) {
            for (int from = 0; from < kept.size() && looks-- > 0;) {
                List<PlacementConstraint> without = new ArrayList<>(kept.subList(0, from));
                without.addAll(kept.subList(Math.min(kept.size(), from + some), kept.size()));
                if (quick.test(new PlacementModel(fleet, without))
                        || (search && verdict(without) == Feasibility.INFEASIBLE)) {
                    kept = without;
                } else {
                    from += some;
                }
            }
        }
        return kept;
    }
}
