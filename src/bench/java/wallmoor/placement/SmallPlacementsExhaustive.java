package wallmoor.placement;

import java.util.List;

/**
 * Compares the planner with an exhaustive search over many small fleets, and measures the results and times of the
 * planner for medium-sized fleets.
 */
public final class SmallPlacementsExhaustive {
    private SmallPlacementsExhaustive() {}

    /** Prints counts and exits with 1 at the first difference. Optional argument: the number of small fleets. */
    public static void main(String[] args) {
        compareSmall(args.length > 0 ? Integer.parseInt(args[0]) : 20_000);
        for (int[] size : List.of(new int[] {5, 6}, new int[] {6, 8}, new int[] {8, 12}, new int[] {12, 30})) {
            searchMediumSized(size[0], size[1]);
        }
    }

    private static void compareSmall(int fleets) {
        int plans = 0;
        int infeasible = 0;
        for (int seed = 0; seed < fleets; seed++) {
            PlacementProblem problem = RandomPlacementProblems.of(seed, 4, 4);
            long minCopiedMb = BruteForce.minCopiedMb(problem, BruteForce.allConstraints(problem));
            PlacementResult result = PlacementPlanner.plan(problem);
            if (!matchesExhaustive(problem, minCopiedMb, result)) {
                System.out.println("seed " + seed + ": " + minCopiedMb + " by trying everything, but " + result);
                System.exit(1);
            }
            plans += minCopiedMb < 0 ? 0 : 1;
            infeasible += minCopiedMb < 0 ? 1 : 0;
        }
        System.out.printf("%d fleets alike: %d with a plan, %d without%n", fleets, plans, infeasible);
    }

    private static boolean matchesExhaustive(PlacementProblem problem, long minCopiedMb, PlacementResult result) {
        if (minCopiedMb < 0) {
            return result instanceof PlacementResult.Infeasible i && i.minimal()
                    && BruteForce.minCopiedMb(problem, i.conflict()) < 0;
        }
        return result instanceof PlacementResult.Plan p && p.copiedMb() == minCopiedMb && p.optimal()
                && PlanVerifier.violations(problem, p).isEmpty();
    }

    private static void searchMediumSized(int nodes, int blocks) {
        int[] count = new int[5];
        double longestSeconds = 0;
        for (int seed = 0; seed < 60; seed++) {
            long startNanos = System.nanoTime();
            PlacementResult result = PlacementPlanner.plan(RandomPlacementProblems.of(seed, nodes, blocks));
            longestSeconds = Math.max(longestSeconds, (System.nanoTime() - startNanos) / 1e9);
            count[resultIndex(result)]++;
        }
        System.out.printf("to %d nodes, %d blocks: %d exact, %d with a lower bound, %d none (fewest reasons), %d none,"
                + " %d not found; %.1f s at most%n", nodes, blocks, count[0], count[1], count[2], count[3], count[4],
                longestSeconds);
    }

    private static int resultIndex(PlacementResult result) {
        if (result instanceof PlacementResult.Plan p) {
            return p.optimal() ? 0 : 1;
        }
        return result instanceof PlacementResult.Infeasible i ? i.minimal() ? 2 : 3 : 4;
    }
}
