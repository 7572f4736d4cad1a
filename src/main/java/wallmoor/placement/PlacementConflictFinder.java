package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Explains an infeasible problem by a small unsatisfiable set of its constraints. The smallest one is found by implicit
 * hitting sets: of each set of constraints that can be satisfied together, one that is left out belongs to the
 * conflict; so the smallest sets that hit all such complements are tried, until one is unsatisfiable. Where that would
 * take too long, a minimal unsatisfiable subset is sought by deletion: constraints are left out as long as a proof
 * stands without them.
 */
final class PlacementConflictFinder {
    /** Constraints of a problem whose smallest conflict is sought, at most: each check may be a search of its own. */
    private static final int MAX_CONSTRAINTS = 40;
    /**
     * A check may keep one in so many of the placements that a plan's search may: there are many checks. All together
     * may keep twice a plan's.
     */
    private static final int CHECK_PART = 5;
    /** Sets that deletion tries of a large problem; each takes some thirty milliseconds. */
    private static final int MAX_DELETIONS = 200;
    private static final List<Predicate<PlacementModel>> PROOFS = List.of(CapacityProof::proven,
            m -> CopyLowerBound.of(m).copiedMb() == CopyLowerBound.INFEASIBLE, AStarSearch::stuck);

    private enum Feasibility {
        FEASIBLE, INFEASIBLE, UNKNOWN
    }

    private final PlacementProblem problem;
    private final List<PlacementConstraint> constraints;
    private final int placements;
    private long budgetLeft;

    private PlacementConflictFinder(PlacementProblem problem, int placements) {
        this.problem = problem;
        this.placements = placements;
        budgetLeft = 2L * placements;
        this.constraints = PlacementModel.rules(problem);
    }

    /** The conflict of a problem that is known to have no plan; {@code placements} is what a plan's search may keep. */
    static PlacementResult.Infeasible of(PlacementProblem problem, int placements) {
        var finder = new PlacementConflictFinder(problem, placements);
        boolean few = finder.constraints.size() <= MAX_CONSTRAINTS;
        PlacementResult.Infeasible smallest = few ? finder.smallestConflict() : null;
        finder.budgetLeft = 2L * placements;
        if (smallest != null) {
            return smallest;
        }
        Predicate<PlacementModel> quick = PROOFS.stream().filter(p -> p.test(new PlacementModel(problem))).findFirst()
                .orElse(m -> false);
        return new PlacementResult.Infeasible(finder.byDeletion(quick, few), false);
    }

    /** Whether a quick proof shows that a model's rules can't be kept. */
    static boolean proven(PlacementModel model) {
        return PROOFS.stream().anyMatch(p -> p.test(model));
    }

    /**
     * By hitting sets; null where the searches it takes are too many. Rules that may or may not go together count as
     * if they did.
     */
    private PlacementResult.Infeasible smallestConflict() {
        List<Set<Integer>> toHit = new ArrayList<>();
        boolean sure = true;
        while (budgetLeft > 0) {
            Set<Integer> hit = smallestHittingSet(toHit);
            if (hit == null) {
                return null;
            }
            Feasibility verdict = check(select(hit));
            if (verdict == Feasibility.INFEASIBLE) {
                return new PlacementResult.Infeasible(select(hit), sure);
            }
            sure &= verdict == Feasibility.FEASIBLE;
            Set<Integer> kept = new HashSet<>(hit);
            Set<Integer> out = new HashSet<>();
            for (int r = 0; r < constraints.size(); r++) {
                if (kept.add(r)) {
                    Feasibility with = check(select(kept));
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

    /** The smallest set of constraints that has one of each given set; null where one of those is empty. */
    private Set<Integer> smallestHittingSet(List<Set<Integer>> sets) {
        for (int size = 0; size <= constraints.size(); size++) {
            Set<Integer> found = hit(sets, new HashSet<>(), size);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Set<Integer> hit(List<Set<Integer>> sets, Set<Integer> taken, int more) {
        budgetLeft--; // wide sets take long to hit: that counts as the searches do
        Set<Integer> missed = sets.stream().filter(s -> s.stream().noneMatch(taken::contains)).findFirst().orElse(null);
        if (missed == null) {
            return taken;
        }
        if (more == 0 || budgetLeft <= 0) {
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

    private Feasibility check(List<PlacementConstraint> kept) {
        var model = new PlacementModel(problem, kept);
        if (!proven(model)) {
            if (PlacementPlanner.draft(model, CopyLowerBound.of(model)) != null) {
                return Feasibility.FEASIBLE;
            }
            int most = (int) Math.min(Math.min(placements / CHECK_PART, budgetLeft),
                    PlacementPlanner.budget(model, placements));
            AStarSearch.SearchResult found = new AStarSearch(model, most).search(Long.MAX_VALUE);
            budgetLeft -= found.placementsSeen();
            return found.moves() != null ? Feasibility.FEASIBLE
                    : found.complete() ? Feasibility.INFEASIBLE : Feasibility.UNKNOWN;
        }
        return Feasibility.INFEASIBLE;
    }

    private List<PlacementConstraint> select(Set<Integer> which) {
        return which.stream().sorted().map(constraints::get).toList();
    }

    /** Leaves rules out, many at a time and then few, as long as a proof stands: a quick one, or by a search. */
    private List<PlacementConstraint> byDeletion(Predicate<PlacementModel> quick, boolean search) {
        int deletionsLeft = MAX_DELETIONS;
        List<PlacementConstraint> kept = constraints;
        for (int some = Integer.highestOneBit(Math.max(1, kept.size() / 2)); some >= 1; some /= 2) {
            for (int from = 0; from < kept.size() && deletionsLeft-- > 0;) {
                List<PlacementConstraint> without = new ArrayList<>(kept.subList(0, from));
                without.addAll(kept.subList(Math.min(kept.size(), from + some), kept.size()));
                if (quick.test(new PlacementModel(problem, without))
                        || (search && check(without) == Feasibility.INFEASIBLE)) {
                    kept = without;
                } else {
                    from += some;
                }
            }
        }
        return kept;
    }
}
