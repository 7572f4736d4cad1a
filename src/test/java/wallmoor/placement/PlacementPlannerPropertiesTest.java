package wallmoor.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks properties of the planner's results, also for problems with too many placements for an exhaustive search. */
class PlacementPlannerPropertiesTest {
    /** Number of stored placements, small enough that searches run out of budget as they do for large problems. */
    private static final int MAX_PLACEMENTS = 1_500;

    @Property(tries = 150)
    void plansAreValidAndNotBelowTheirLowerBound(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes, @ForAll @IntRange(min = 1, max = 14) int blocks) {
        PlacementProblem problem = RandomPlacementProblems.of(seed, nodes, blocks);
        PlacementResult result = PlacementPlanner.plan(problem, MAX_PLACEMENTS);
        if (result instanceof PlacementResult.Plan plan) {
            assertEquals(List.of(), PlanVerifier.violations(problem, plan));
            assertTrue(plan.copiedMb() >= plan.lowerBoundMb());
        } else if (result instanceof PlacementResult.Infeasible infeasible) {
            assertFalse(infeasible.conflict().isEmpty());
            assertTrue(BruteForce.allConstraints(problem).containsAll(infeasible.conflict()));
        }
        assertEquals(result, PlacementPlanner.plan(problem, MAX_PLACEMENTS));
    }

    /** Rejects a plan cheaper than the optimal one, and a plan with a move redirected to a draining node. */
    @Property(tries = 150)
    void verifierRejectsCorruptedPlans(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 20) int moveIndex) {
        PlacementProblem problem = RandomPlacementProblems.of(seed, 4, 5);
        if (!(PlacementPlanner.plan(problem) instanceof PlacementResult.Plan plan) || plan.moves().isEmpty()
                || !plan.optimal()) {
            return;
        }
        Move move = plan.moves().get(moveIndex % plan.moves().size());
        List<Move> fewer = new ArrayList<>(plan.moves());
        fewer.remove(move);
        long copiedMb = plan.copiedMb() - move.sizeMb();
        assertFalse(
                PlanVerifier.violations(problem, new PlacementResult.Plan(fewer, copiedMb, copiedMb, true)).isEmpty());
        for (StorageNode node : problem.nodes()) {
            List<Move> redirected = new ArrayList<>(plan.moves());
            redirected.set(redirected.indexOf(move),
                    new Move(move.block(), move.from(), node.id(), move.sizeMb(), move.wave()));
            boolean isValid = PlanVerifier
                    .violations(problem, new PlacementResult.Plan(redirected, plan.copiedMb(), plan.copiedMb(), true))
                    .isEmpty();
            assertFalse(isValid && node.draining());
        }
    }

    @Property(tries = 60)
    void conflictsAreInfeasibleOnTheirOwn(@ForAll @IntRange(max = 1_000_000) int seed) {
        PlacementProblem problem = RandomPlacementProblems.of(seed, 4, 3);
        if (PlacementPlanner.plan(problem) instanceof PlacementResult.Infeasible infeasible) {
            assertTrue(infeasible.minimal());
            assertEquals(-1, BruteForce.minCopiedMb(problem, infeasible.conflict()));
        }
    }
}
