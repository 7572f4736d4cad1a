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
class PlannerPropertiesTest {
    /** So few that searches come to no end, as those of large fleets do. */
    private static final int PLACEMENTS = 1_500;

    @Property(tries = 150)
    void plansAreSoundAndNeverUnderTheirBound(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes, @ForAll @IntRange(min = 1, max = 14) int blocks) {
        Fleet fleet = SmallFleets.of(seed, nodes, blocks);
        Answer answer = Planner.plan(fleet, PLACEMENTS);
        if (answer instanceof Answer.Plan plan) {
            assertEquals(List.of(), PlanCheck.faults(fleet, plan));
            assertTrue(plan.mb() >= plan.boundMb());
        } else if (answer instanceof Answer.Infeasible none) {
            assertFalse(none.because().isEmpty());
            assertTrue(BruteForce.rules(fleet).containsAll(none.because()));
        }
        assertEquals(answer, Planner.plan(fleet, PLACEMENTS));
    }

    /** A cheaper plan than the exact one can't be sound, nor one with a move turned aside onto what may not take it. */
    @Property(tries = 150)
    void theCheckRefusesSpoiltPlans(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 20) int which) {
        Fleet fleet = SmallFleets.of(seed, 4, 5);
        if (!(Planner.plan(fleet) instanceof Answer.Plan plan) || plan.moves().isEmpty() || !plan.exact()) {
            return;
        }
        Move move = plan.moves().get(which % plan.moves().size());
        List<Move> fewer = new ArrayList<>(plan.moves());
        fewer.remove(move);
        long mb = plan.mb() - move.mb();
        assertFalse(PlanCheck.faults(fleet, new Answer.Plan(fewer, mb, mb, true)).isEmpty());
        for (Node node : fleet.nodes()) {
            List<Move> aside = new ArrayList<>(plan.moves());
            aside.set(aside.indexOf(move), new Move(move.block(), move.from(), node.id(), move.mb(), move.wave()));
            boolean sound = PlanCheck.faults(fleet, new Answer.Plan(aside, plan.mb(), plan.mb(), true)).isEmpty();
            assertFalse(sound && node.drain());
        }
    }

    @Property(tries = 60)
    void reasonsHoldByThemselves(@ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = SmallFleets.of(seed, 4, 3);
        if (Planner.plan(fleet) instanceof Answer.Infeasible none) {
            assertTrue(none.smallest());
            assertEquals(-1, BruteForce.least(fleet, none.because()));
        }
    }
}
