package wallmoor.placement;

import java.util.List;

/**
 * The planner beside trying everything, over many small fleets, and how often and how long middle-sized ones are
 * searched.
 */
public final class SmallPlacementsExhaustive {
    private SmallPlacementsExhaustive() {}

    /** Prints counts; how many fleets may be given. Ends with 1 at the first difference. */
    public static void main(String[] args) {
        compareSmall(args.length > 0 ? Integer.parseInt(args[0]) : 20_000);
        for (int[] size : List.of(new int[] {5, 6}, new int[] {6, 8}, new int[] {8, 12}, new int[] {12, 30})) {
            searchMiddleSized(size[0], size[1]);
        }
    }

    private static void compareSmall(int fleets) {
        int plans = 0;
        int none = 0;
        for (int seed = 0; seed < fleets; seed++) {
            PlacementProblem fleet = RandomPlacementProblems.of(seed, 4, 4);
            long least = BruteForce.minCopiedMb(fleet, BruteForce.allConstraints(fleet));
            PlacementResult answer = PlacementPlanner.plan(fleet);
            if (!isSame(fleet, least, answer)) {
                System.out.println("seed " + seed + ": " + least + " by trying everything, but " + answer);
                System.exit(1);
            }
            plans += least < 0 ? 0 : 1;
            none += least < 0 ? 1 : 0;
        }
        System.out.printf("%d fleets alike: %d with a plan, %d without%n", fleets, plans, none);
    }

    private static boolean isSame(PlacementProblem fleet, long least, PlacementResult answer) {
        if (least < 0) {
            return answer instanceof PlacementResult.Infeasible i && i.minimal()
                    && BruteForce.minCopiedMb(fleet, i.conflict()) < 0;
        }
        return answer instanceof PlacementResult.Plan p && p.copiedMb() == least && p.optimal()
                && PlanVerifier.violations(fleet, p).isEmpty();
    }

    private static void searchMiddleSized(int nodes, int blocks) {
        int[] count = new int[5];
        double worst = 0;
        for (int seed = 0; seed < 60; seed++) {
            long begin = System.nanoTime();
            PlacementResult answer = PlacementPlanner.plan(RandomPlacementProblems.of(seed, nodes, blocks));
            worst = Math.max(worst, (System.nanoTime() - begin) / 1e9);
            count[kind(answer)]++;
        }
        System.out.printf("to %d nodes, %d blocks: %d exact, %d with a lower bound, %d none (fewest reasons), %d none,"
                + " %d not found; %.1f s at most%n", nodes, blocks, count[0], count[1], count[2], count[3], count[4],
                worst);
    }

    private static int kind(PlacementResult answer) {
        if (answer instanceof PlacementResult.Plan p) {
            return p.optimal() ? 0 : 1;
        }
        return answer instanceof PlacementResult.Infeasible i ? i.minimal() ? 2 : 3 : 4;
    }
}
