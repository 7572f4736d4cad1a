package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Plans placements of 5,000 blocks on 200 nodes for several kinds of fleets and prints the time, the copied data
 * compared with the lower bound, and the number of waves.
 */
public final class LargePlacementsBenchmark {
    private LargePlacementsBenchmark() {}

    /**
     * A kind of fleet.
     *
     * @param fill share of the usable disk space that is in use
     * @param unevenness 0 for evenly filled nodes; 1 for some nodes twice as full as the mean and some empty
     * @param draining number of nodes that drain
     * @param sameCellPercent percentage of blocks with copies in the same cell
     * @param sizeDeviation 0 for uniformly distributed sizes of 200 to 999 MB, otherwise the standard deviation of
     * log-normal sizes
     */
    record Kind(String name, int cells, int copies, double fill, double unevenness, int draining, int level,
            int sameCellPercent,
            FailureDomain spread, double sizeDeviation) {}

    static PlacementProblem of(Kind kind, long seed, int n, int count) {
        var random = new Random(seed);
        List<StorageNode> nodes = new ArrayList<>();
        long[] disksMb = new long[n];
        double[] weights = new double[n];
        boolean[] isDraining = new boolean[n];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            order.add(i);
            weights[i] = Math.max(0.02, 1 + kind.unevenness() * (2 * random.nextDouble() - 1));
        }
        Collections.shuffle(order, random);
        order.subList(0, kind.draining()).forEach(i -> isDraining[i] = true);
        long[] sizesMb = new long[count];
        for (int b = 0; b < count; b++) {
            sizesMb[b] = kind.sizeDeviation() == 0 ? 200 + random.nextInt(800)
                    : Math.round(300 * Math.exp(kind.sizeDeviation() * random.nextGaussian())) + 1;
        }
        long totalMb = Arrays.stream(sizesMb).sum() * kind.copies();
        long meanDiskMb = Math.round(totalMb / kind.fill() / 0.9 / (n - kind.draining()));
        for (int i = 0; i < n; i++) {
            disksMb[i] = Math.round(meanDiskMb * (0.8 + 0.4 * random.nextDouble()));
            nodes.add(new StorageNode("n" + i, "cell-" + i % kind.cells(), disksMb[i], isDraining[i]));
        }
        long[] usedMb = new long[n];
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int b = 0; b < count; b++) {
            List<String> holders = new ArrayList<>();
            boolean allowsSameCell = random.nextInt(100) < kind.sameCellPercent();
            List<Integer> chosen = new ArrayList<>();
            while (chosen.size() < kind.copies()) {
                int best = leastFull(kind, random, chosen, allowsSameCell, usedMb, weights, disksMb);
                chosen.add(best);
                usedMb[best] += sizesMb[b];
                holders.add("n" + best);
            }
            blocks.add(new BlockReplicas("b" + b, sizesMb[b], holders));
        }
        return new PlacementProblem(100_000, kind.spread(), kind.level(), nodes, blocks);
    }

    /** Returns the node with the lowest use for its weight out of some random candidates. */
    private static int leastFull(Kind kind, Random random, List<Integer> chosen, boolean allowsSameCell, long[] usedMb,
            double[] weights, long[] disksMb) {
        int best = -1;
        for (int attempts = 0; attempts < 6 || best < 0; attempts++) {
            int i = random.nextInt(usedMb.length);
            boolean isAllowed = allowsSameCell && chosen.size() < 2 ? !chosen.contains(i)
                    : chosen.stream().noneMatch(t -> t % kind.cells() == i % kind.cells());
            if (isAllowed && (allowsSameCell || chosen.stream().noneMatch(t -> t == i))
                    && (best < 0 || usedMb[i] / (weights[i] * disksMb[i]) < usedMb[best]
                            / (weights[best] * disksMb[best]))) {
                best = i;
            }
        }
        return best;
    }

    /** Prints a line for each kind and seed. Optional arguments: the number of seeds, of nodes and of blocks. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 2;
        int nodes = args.length > 1 ? Integer.parseInt(args[1]) : 200;
        int blocks = args.length > 2 ? Integer.parseInt(args[2]) : 5_000;
        List<Kind> kinds = List.of(
                new Kind("drain 10, roomy", 8, 3, 0.6, 0.2, 10, PlacementProblem.NO_LEVEL, 0, FailureDomain.CELL, 0),
                new Kind("drain 10, full to 0.95", 8, 3, 0.95, 0.2, 10, PlacementProblem.NO_LEVEL, 0,
                        FailureDomain.CELL, 0),
                new Kind("level 0.2, uneven", 8, 3, 0.6, 0.8, 0, 200_000, 0, FailureDomain.CELL, 0),
                new Kind("level 0.05, drain 10", 8, 3, 0.75, 0.5, 10, 50_000, 0, FailureDomain.CELL, 0),
                new Kind("level 0.02, uneven", 8, 3, 0.7, 0.8, 5, 20_000, 0, FailureDomain.CELL, 0),
                new Kind("three cells, level 0.1", 3, 3, 0.7, 0.6, 10, 100_000, 0, FailureDomain.CELL, 0),
                new Kind("three cells, full to 0.97", 3, 3, 0.97, 0.1, 6, PlacementProblem.NO_LEVEL, 0,
                        FailureDomain.CELL, 0),
                new Kind("beside 20 %, level 0.2", 5, 3, 0.7, 0.4, 5, 200_000, 20, FailureDomain.CELL, 0),
                new Kind("nodes, over bounds", 8, 2, 0.9, 0.6, 5, PlacementProblem.NO_LEVEL, 0, FailureDomain.NODE, 0),
                new Kind("sizes with a tail, level 0.1", 8, 2, 0.8, 0.5, 10, 100_000, 0, FailureDomain.CELL, 1),
                new Kind("tail, full to 0.93, drain 10", 8, 2, 0.93, 0.2, 10, PlacementProblem.NO_LEVEL, 5,
                        FailureDomain.CELL, 0.8),
                new Kind("two cells, level 0.03", 2, 2, 0.85, 0.4, 6, 30_000, 0, FailureDomain.CELL, 0),
                new Kind("one copy, level 0.1", 8, 1, 0.9, 0.6, 10, 100_000, 0, FailureDomain.NODE, 0));
        for (Kind kind : kinds) {
            for (int seed = 1; seed <= seeds; seed++) {
                PlacementProblem problem = of(kind, seed, nodes, blocks);
                long startNanos = System.nanoTime();
                PlacementResult result = PlacementPlanner.plan(problem);
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                if (result instanceof PlacementResult.Plan plan) {
                    List<String> faults = PlanVerifier.violations(problem, plan);
                    int waves = plan.moves().isEmpty() ? 0 : plan.moves().get(plan.moves().size() - 1).wave();
                    System.out.printf(
                            "%-29s seed %d: %6.2f s, %5d moves, %8d MB, bound %8d, ratio %.4f, %d waves, faults %d%n",
                            kind.name(), seed, seconds, plan.moves().size(), plan.copiedMb(), plan.lowerBoundMb(),
                            (double) plan.copiedMb() / Math.max(1, plan.lowerBoundMb()), waves, faults.size());
                } else if (result instanceof PlacementResult.Infeasible infeasible) {
                    System.out.printf("%-29s seed %d: %6.2f s, infeasible: %d reasons%n", kind.name(), seed, seconds,
                            infeasible.conflict().size());
                } else {
                    System.out.printf("%-29s seed %d: %6.2f s, %s%n", kind.name(), seed, seconds, result);
                }
            }
        }
    }
}
