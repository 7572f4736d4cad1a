package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Explains an infeasible problem by a small unsatisfiable set of its constraints. The smallest such set is found by
 * implicit hitting sets: for each satisfiable set of constraints, the conflict must contain a constraint outside it, so
 * the smallest sets that hit all those complements are tried until one is unsatisfiable. Where that would take too
 * long, a minimal unsatisfiable subset is sought by deletion: constraints are dropped while the proof of infeasibility
 * still holds without them.
 */
final class PlacementConflictFinder {
    /** Number of constraints up to which the smallest conflict is sought; each check may run a search of its own. */
    private static final int MAX_CONSTRAINTS = 40;
    /**
     * A check may store one in this many of the placements that a plan's search may store, since there are many checks.
     * All checks together may store twice as many as a plan's search.
     */
    private static final int CHECK_BUDGET_DIVISOR = 5;
    /** Number of sets that deletion tries; each takes some thirty milliseconds for a large problem. */
    private static final int MAX_DELETIONS = 200;
    private static final List<Predicate<PlacementModel>> PROOFS = List.of(CapacityProof::isProvenInfeasible,
            m -> CopyLowerBound.of(m).copiedMb() == CopyLowerBound.INFEASIBLE, AStarSearch::isStuck);

    private enum Feasibility {
        FEASIBLE, INFEASIBLE, UNKNOWN
    }

    private final PlacementProblem problem;
    private final List<PlacementConstraint> constraints;
    private final int maxPlacements;
    private long budgetLeft;

    private PlacementConflictFinder(PlacementProblem problem, int maxPlacements) {
        this.problem = problem;
        this.maxPlacements = maxPlacements;
        budgetLeft = 2L * maxPlacements;
        this.constraints = PlacementModel.allConstraints(problem);
    }

    /**
     * Returns the conflict of a problem that is known to have no plan.
     *
     * @param maxPlacements number of placements that a plan's search may store
     */
    static PlacementResult.Infeasible of(PlacementProblem problem, int maxPlacements) {
        var finder = new PlacementConflictFinder(problem, maxPlacements);
        boolean hasFewConstraints = finder.constraints.size() <= MAX_CONSTRAINTS;
        PlacementResult.Infeasible smallest = hasFewConstraints ? finder.smallestConflict() : null;
        finder.budgetLeft = 2L * maxPlacements;
        if (smallest != null) {
            return smallest;
        }
        Predicate<PlacementModel> quickProof = PROOFS.stream().filter(p -> p.test(new PlacementModel(problem)))
                .findFirst().orElse(m -> false);
        return new PlacementResult.Infeasible(finder.reduceByDeletion(quickProof, hasFewConstraints), false);
    }

    /** Returns whether a quick proof shows that a model's constraints are unsatisfiable. */
    static boolean isProvenInfeasible(PlacementModel model) {
        return PROOFS.stream().anyMatch(p -> p.test(model));
    }

    /**
     * Returns the smallest conflict, found by hitting sets, or null if that exceeds the budget. Constraints of unknown
     * feasibility are treated as satisfiable, and the result is then not marked minimal.
     */
    private PlacementResult.Infeasible smallestConflict() {
        List<Set<Integer>> complements = new ArrayList<>();
        boolean isMinimal = true;
        while (budgetLeft > 0) {
            Set<Integer> hittingSet = smallestHittingSet(complements);
            if (hittingSet == null) {
                return null;
            }
            Feasibility feasibility = check(select(hittingSet));
            if (feasibility == Feasibility.INFEASIBLE) {
                return new PlacementResult.Infeasible(select(hittingSet), isMinimal);
            }
            isMinimal &= feasibility == Feasibility.FEASIBLE;
            Set<Integer> enforced = new HashSet<>(hittingSet);
            Set<Integer> excluded = new HashSet<>();
            for (int constraint = 0; constraint < constraints.size(); constraint++) {
                if (enforced.add(constraint)) {
                    Feasibility extendedFeasibility = check(select(enforced));
                    isMinimal &= extendedFeasibility != Feasibility.UNKNOWN;
                    if (extendedFeasibility == Feasibility.INFEASIBLE) {
                        enforced.remove(constraint);
                        excluded.add(constraint);
                    }
                }
            }
            complements.add(excluded);
        }
        return null;
    }

    /**
     * Returns the smallest set of constraint indexes with at least one of each given set, or null if a given set is
     * empty or the budget is used up.
     */
    private Set<Integer> smallestHittingSet(List<Set<Integer>> sets) {
        for (int size = 0; size <= constraints.size(); size++) {
            Set<Integer> found = extendToHit(sets, new HashSet<>(), size);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /** Adds at most {@code maxAdded} constraints to those taken so that every set is hit; null if none do. */
    private Set<Integer> extendToHit(List<Set<Integer>> sets, Set<Integer> taken, int maxAdded) {
        budgetLeft--; // large sets take long to hit, so each step counts against the budget of the searches
        Set<Integer> firstUnhit = sets.stream().filter(s -> s.stream().noneMatch(taken::contains)).findFirst()
                .orElse(null);
        if (firstUnhit == null) {
            return taken;
        }
        if (maxAdded == 0 || budgetLeft <= 0) {
            return null;
        }
        for (int constraint : firstUnhit) {
            Set<Integer> extended = new HashSet<>(taken);
            extended.add(constraint);
            Set<Integer> found = extendToHit(sets, extended, maxAdded - 1);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /** Checks a subset of the constraints by the quick proofs, then by greedy plans, then by a search. */
    private Feasibility check(List<PlacementConstraint> enforced) {
        var model = new PlacementModel(problem, enforced);
        if (!isProvenInfeasible(model)) {
            if (PlacementPlanner.bestGreedyPlan(model, CopyLowerBound.of(model)) != null) {
                return Feasibility.FEASIBLE;
            }
            int maxStored = (int) Math.min(Math.min(maxPlacements / CHECK_BUDGET_DIVISOR, budgetLeft),
                    PlacementPlanner.searchBudget(model, maxPlacements));
            AStarSearch.SearchResult found = new AStarSearch(model, maxStored).search(Long.MAX_VALUE);
            budgetLeft -= found.placementsSeen();
            return found.moves() != null ? Feasibility.FEASIBLE
                    : found.complete() ? Feasibility.INFEASIBLE : Feasibility.UNKNOWN;
        }
        return Feasibility.INFEASIBLE;
    }

    /** Returns the constraints with the given indexes. */
    private List<PlacementConstraint> select(Set<Integer> indexes) {
        return indexes.stream().sorted().map(constraints::get).toList();
    }

    /**
     * Drops constraints, first many at a time and then fewer, while infeasibility is still proven without them.
     *
     * @param quickProof  the quick proof to repeat
     * @param allowSearch whether infeasibility may also be proven by a search
     */
    private List<PlacementConstraint> reduceByDeletion(Predicate<PlacementModel> quickProof, boolean allowSearch) {
        int deletionsLeft = MAX_DELETIONS;
        List<PlacementConstraint> enforced = constraints;
        for (int step = Integer.highestOneBit(Math.max(1, enforced.size() / 2)); step >= 1; step /= 2) {
            for (int from = 0; from < enforced.size() && deletionsLeft-- > 0;) {
                List<PlacementConstraint> without = new ArrayList<>(enforced.subList(0, from));
                without.addAll(enforced.subList(Math.min(enforced.size(), from + step), enforced.size()));
                if (quickProof.test(new PlacementModel(problem, without))
                        || (allowSearch && check(without) == Feasibility.INFEASIBLE)) {
                    enforced = without;
                } else {
                    from += step;
                }
            }
        }
        return enforced;
    }
}
