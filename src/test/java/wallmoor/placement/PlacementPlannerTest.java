package wallmoor.placement;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Compares plans of small problems with an exhaustive search, and checks problems whose plan is known. */
public class PlacementPlannerTest {
    @Test
    public void solvesSmallProblemsAsExhaustiveSearchDoes() {
        int withMoves = 0;
        int none = 0;
        int boundMet = 0;
        int withIntermediateMove = 0;
        for (long seed = 0; seed < 1_000; seed++) {
            PlacementProblem problem = RandomPlacementProblems.of(seed, 4, 4);
            long minMb = BruteForce.minCopiedMb(problem, BruteForce.allConstraints(problem));
            PlacementResult result = PlacementPlanner.plan(problem);
            if (minMb < 0) {
                assertTrue("seed " + seed + " has no plan: " + result, result instanceof PlacementResult.Infeasible);
                none++;
                continue;
            }
            assertTrue("seed " + seed + " has a plan: " + result, result instanceof PlacementResult.Plan);
            var plan = (PlacementResult.Plan) result;
            assertEquals("seed " + seed, minMb, plan.copiedMb());
            assertTrue("seed " + seed, plan.optimal());
            // the search alone, without the cost of a greedy plan as its limit
            var searchResult = new AStarSearch(new PlacementModel(problem), 100_000).search(Long.MAX_VALUE);
            assertEquals("seed " + seed, minMb, searchResult.copiedMb());
            assertEquals("seed " + seed, List.of(), PlanVerifier.violations(problem, plan));
            assertTrue("seed " + seed + ": the lower bound is above the optimum",
                    CopyLowerBound.of(new PlacementModel(problem)).copiedMb() <= minMb);
            boundMet += CopyLowerBound.of(new PlacementModel(problem)).copiedMb() == minMb ? 1 : 0;
            withMoves += minMb > 0 ? 1 : 0;
            withIntermediateMove += plan.moves().stream().anyMatch(m -> plan.moves().stream()
                    .anyMatch(o -> o.block().equals(m.block()) && o.from().equals(m.to()))) ? 1 : 0;
        }
        System.out.println("small problems: " + withMoves + " with moves, " + none + " without a plan, "
                + withIntermediateMove + " with an intermediate move, lower bound met by " + boundMet);
        assertTrue(withMoves > 200 && none > 200 && withIntermediateMove > 0);
    }

    @Test
    public void conflictsAreInfeasibleAndOfMinimalSize() {
        int seen = 0;
        for (long seed = 0; seen < 60; seed++) {
            PlacementProblem problem = RandomPlacementProblems.of(seed, 3, 3);
            if (PlacementPlanner.plan(problem) instanceof PlacementResult.Infeasible none) {
                seen++;
                assertTrue("seed " + seed, none.minimal());
                assertEquals("seed " + seed + " " + none, -1, BruteForce.minCopiedMb(problem, none.conflict()));
                List<PlacementConstraint> constraints = BruteForce.allConstraints(problem);
                for (int set = 0; set < 1 << constraints.size(); set++) {
                    if (Integer.bitCount(set) == none.conflict().size() - 1) {
                        List<PlacementConstraint> fewer = new ArrayList<>();
                        for (int r = 0; r < constraints.size(); r++) {
                            if ((set >> r & 1) == 1) {
                                fewer.add(constraints.get(r));
                            }
                        }
                        assertTrue("seed " + seed + " also " + fewer, BruteForce.minCopiedMb(problem, fewer) >= 0);
                    }
                }
            }
        }
    }

    /** Block p must move to a third node to make room for block q, and then to the node that q has left. */
    @Test
    public void swapsTwoBlocksThroughAThirdNode() {
        PlacementProblem problem = new PlacementProblem(0, FailureDomain.CELL, 250_000,
                List.of(node("a", 150), node("b", 400), node("c", 250)),
                List.of(new BlockReplicas("p", 50, List.of("a")), new BlockReplicas("q", 150, List.of("b")),
                        new BlockReplicas("r", 250, List.of("b")), new BlockReplicas("s", 200, List.of("c"))));
        assertEquals(new PlacementResult.Plan(List.of(new Move("p", "a", "c", 50, 1), new Move("q", "b", "a", 150, 2),
                new Move("p", "c", "b", 50, 3)), 250, 250, true), PlacementPlanner.plan(problem));
    }

    /** Sixty nodes are too many for a search, so infeasibility must be proven by counting. */
    @Test
    public void provesInfeasibilityOfLargeProblemsByCounting() {
        List<StorageNode> nodes = new ArrayList<>();
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            nodes.add(new StorageNode("n" + i, "c" + i, 100, i == 0));
            for (int b = 0; b < 7; b++) {
                blocks.add(new BlockReplicas("b" + i + "-" + b, 14, List.of("n" + i)));
            }
        }
        PlacementResult result = PlacementPlanner
                .plan(new PlacementProblem(0, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes, blocks));
        // 59 nodes have room for seven blocks each, and there are 420 blocks
        assertTrue("" + result, result instanceof PlacementResult.Infeasible);
        nodes.set(1, new StorageNode("n1", "c1", 99 + 98, false));
        result = PlacementPlanner
                .plan(new PlacementProblem(0, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes, blocks));
        assertTrue("" + result, result instanceof PlacementResult.Plan p && p.optimal() && p.copiedMb() == 98);
    }

    private static StorageNode node(String id, long mb) {
        return new StorageNode(id, "cell-" + id, mb, false);
    }
}
