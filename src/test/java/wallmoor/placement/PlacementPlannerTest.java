package wallmoor.placement;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Plans of small fleets against all there are, and fleets whose plan is known. */
public class PlacementPlannerTest {
    @Test
    public void smallFleetsAreSolvedAsByTryingEverything() {
        int plans = 0;
        int none = 0;
        int proven = 0;
        int stops = 0;
        for (long seed = 0; seed < 1_000; seed++) {
            PlacementProblem fleet = RandomPlacementProblems.of(seed, 4, 4);
            long least = BruteForce.least(fleet, BruteForce.rules(fleet));
            PlacementResult answer = PlacementPlanner.plan(fleet);
            if (least < 0) {
                assertTrue("seed " + seed + " has no plan: " + answer, answer instanceof PlacementResult.Infeasible);
                none++;
                continue;
            }
            assertTrue("seed " + seed + " has a plan: " + answer, answer instanceof PlacementResult.Plan);
            var plan = (PlacementResult.Plan) answer;
            assertEquals("seed " + seed, least, plan.copiedMb());
            assertTrue("seed " + seed, plan.optimal());
            // without a draft to go under
            var alone = new AStarSearch(new PlacementModel(fleet), 100_000).search(Long.MAX_VALUE);
            assertEquals("seed " + seed, least, alone.copiedMb());
            assertEquals("seed " + seed, List.of(), PlanVerifier.violations(fleet, plan));
            assertTrue("seed " + seed + ": the bound for any size is above the least",
                    CopyLowerBound.of(new PlacementModel(fleet)).copiedMb() <= least);
            proven += CopyLowerBound.of(new PlacementModel(fleet)).copiedMb() == least ? 1 : 0;
            plans += least > 0 ? 1 : 0;
            stops += plan.moves().stream().anyMatch(m -> plan.moves().stream()
                    .anyMatch(o -> o.block().equals(m.block()) && o.from().equals(m.to()))) ? 1 : 0;
        }
        System.out.println("small fleets: " + plans + " with moves, " + none + " without a plan, " + stops
                + " with a stop on the way, bound met by " + proven);
        assertTrue(plans > 200 && none > 200 && stops > 0);
    }

    @Test
    public void reasonsAreInfeasibleByThemselvesAndNoFewerAre() {
        int seen = 0;
        for (long seed = 0; seen < 60; seed++) {
            PlacementProblem fleet = RandomPlacementProblems.of(seed, 3, 3);
            if (PlacementPlanner.plan(fleet) instanceof PlacementResult.Infeasible none) {
                seen++;
                assertTrue("seed " + seed, none.minimal());
                assertEquals("seed " + seed + " " + none, -1, BruteForce.least(fleet, none.conflict()));
                List<PlacementConstraint> rules = BruteForce.rules(fleet);
                for (int set = 0; set < 1 << rules.size(); set++) {
                    if (Integer.bitCount(set) == none.conflict().size() - 1) {
                        List<PlacementConstraint> fewer = new ArrayList<>();
                        for (int r = 0; r < rules.size(); r++) {
                            if ((set >> r & 1) == 1) {
                                fewer.add(rules.get(r));
                            }
                        }
                        assertTrue("seed " + seed + " also " + fewer, BruteForce.least(fleet, fewer) >= 0);
                    }
                }
            }
        }
    }

    /** One block goes out of another's way and comes to where that one was. */
    @Test
    public void twoBlocksChangePlacesByAThirdNode() {
        PlacementProblem fleet = new PlacementProblem(0, FailureDomain.CELL, 250_000,
                List.of(node("a", 150), node("b", 400), node("c", 250)),
                List.of(new BlockReplicas("p", 50, List.of("a")), new BlockReplicas("q", 150, List.of("b")),
                        new BlockReplicas("r", 250, List.of("b")), new BlockReplicas("s", 200, List.of("c"))));
        assertEquals(new PlacementResult.Plan(List.of(new Move("p", "a", "c", 50, 1), new Move("q", "b", "a", 150, 2),
                new Move("p", "c", "b", 50, 3)), 250, 250, true), PlacementPlanner.plan(fleet));
    }

    /** Sixty nodes are too many for a search. */
    @Test
    public void whatIsLargeIsProvenByCounting() {
        List<StorageNode> nodes = new ArrayList<>();
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            nodes.add(new StorageNode("n" + i, "c" + i, 100, i == 0));
            for (int b = 0; b < 7; b++) {
                blocks.add(new BlockReplicas("b" + i + "-" + b, 14, List.of("n" + i)));
            }
        }
        PlacementResult answer = PlacementPlanner
                .plan(new PlacementProblem(0, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes, blocks));
        // 59 nodes take seven each, and there are 420
        assertTrue("" + answer, answer instanceof PlacementResult.Infeasible);
        nodes.set(1, new StorageNode("n1", "c1", 99 + 98, false));
        answer = PlacementPlanner
                .plan(new PlacementProblem(0, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes, blocks));
        assertTrue("" + answer, answer instanceof PlacementResult.Plan p && p.optimal() && p.copiedMb() == 98);
    }

    private static StorageNode node(String id, long mb) {
        return new StorageNode(id, "cell-" + id, mb, false);
    }
}
