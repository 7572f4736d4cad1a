package wallmoor.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What holds for every fleet's answer, also where there are too many placements to try. */
class PlacementPlannerPropertiesTest {
    /** So few that searches come to no end, as those of large fleets do. */
    private static final int PLACEMENTS = 1_500;

    @Property(tries = 150)
    void plansAreSoundAndNeverUnderTheirBound(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes, @ForAll @IntRange(min = 1, max = 14) int blocks) {
        PlacementProblem fleet = RandomPlacementProblems.of(seed, nodes, blocks);
        PlacementResult answer = PlacementPlanner.plan(fleet, PLACEMENTS);
        if (answer instanceof PlacementResult.Plan plan) {
            assertEquals(List.of(), PlanVerifier.violations(fleet, plan));
            assertTrue(plan.copiedMb() >= plan.lowerBoundMb());
        } else if (answer instanceof PlacementResult.Infeasible none) {
            assertFalse(none.conflict().isEmpty());
            assertTrue(BruteForce.rules(fleet).containsAll(none.conflict()));
        }
        assertEquals(answer, PlacementPlanner.plan(fleet, PLACEMENTS));
    }

    /** A cheaper plan than the exact one can't be sound, nor one with a move turned aside onto what may not take it. */
    @Property(tries = 150)
    void theCheckRefusesSpoiltPlans(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 20) int which) {
        PlacementProblem fleet = RandomPlacementProblems.of(seed, 4, 5);
        if (!(PlacementPlanner.plan(fleet) instanceof PlacementResult.Plan plan) || plan.moves().isEmpty()
                || !plan.optimal()) {
            return;
        }
        Move move = plan.moves().get(which % plan.moves().size());
        List<Move> fewer = new ArrayList<>(plan.moves());
        fewer.remove(move);
        long mb = plan.copiedMb() - move.sizeMb();
        assertFalse(PlanVerifier.violations(fleet, new PlacementResult.Plan(fewer, mb, mb, true)).isEmpty());
        for (StorageNode node : fleet.nodes()) {
            List<Move> aside = new ArrayList<>(plan.moves());
            aside.set(aside.indexOf(move), new Move(move.block(), move.from(), node.id(), move.sizeMb(), move.wave()));
            boolean sound = PlanVerifier
                    .violations(fleet, new PlacementResult.Plan(aside, plan.copiedMb(), plan.copiedMb(), true))
                    .isEmpty();
            assertFalse(sound && node.draining());
        }
    }

    @Property(tries = 60)
    void reasonsHoldByThemselves(@ForAll @IntRange(max = 1_000_000) int seed) {
        PlacementProblem fleet = RandomPlacementProblems.of(seed, 4, 3);
        if (PlacementPlanner.plan(fleet) instanceof PlacementResult.Infeasible none) {
            assertTrue(none.minimal());
            assertEquals(-1, BruteForce.least(fleet, none.conflict()));
        }
    }
}
