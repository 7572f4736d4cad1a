package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Plans for 200 nodes and 5,000 blocks: seconds, bytes beside the bound, and the waves, for fleets of several kinds.
 */
public final class LargePlacementsBenchmark {
    private LargePlacementsBenchmark() {}

    /**
     * A kind of fleet.
     *
     * @param fill     what is held, as a share of what may be
     * @param uneven   0 for nodes filled alike; 1 for some twice as full as the mean and some empty
     * @param draining nodes that drain
     * @param beside   blocks in a hundred whose copies stand in one cell
     * @param tail     0 for sizes of 200 to 999 MB alike; else log-normal ones of this deviation
     */
    record Kind(String name, int cells, int copies, double fill, double uneven, int draining, int level, int beside,
            FailureDomain spread, double tail) {}

    static PlacementProblem of(Kind kind, long seed, int n, int count) {
        var random = new Random(seed);
        List<StorageNode> nodes = new ArrayList<>();
        long[] disk = new long[n];
        double[] weight = new double[n];
        boolean[] drain = new boolean[n];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            order.add(i);
            weight[i] = Math.max(0.02, 1 + kind.uneven() * (2 * random.nextDouble() - 1));
        }
        Collections.shuffle(order, random);
        order.subList(0, kind.draining()).forEach(i -> drain[i] = true);
        long[] mb = new long[count];
        for (int b = 0; b < count; b++) {
            mb[b] = kind.tail() == 0 ? 200 + random.nextInt(800)
                    : Math.round(300 * Math.exp(kind.tail() * random.nextGaussian())) + 1;
        }
        long total = Arrays.stream(mb).sum() * kind.copies();
        long mean = Math.round(total / kind.fill() / 0.9 / (n - kind.draining()));
        for (int i = 0; i < n; i++) {
            disk[i] = Math.round(mean * (0.8 + 0.4 * random.nextDouble()));
            nodes.add(new StorageNode("n" + i, "cell-" + i % kind.cells(), disk[i], drain[i]));
        }
        long[] used = new long[n];
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int b = 0; b < count; b++) {
            List<String> on = new ArrayList<>();
            boolean beside = random.nextInt(100) < kind.beside();
            List<Integer> taken = new ArrayList<>();
            while (taken.size() < kind.copies()) {
                int best = leastFull(kind, random, taken, beside, used, weight, disk);
                taken.add(best);
                used[best] += mb[b];
                on.add("n" + best);
            }
            blocks.add(new BlockReplicas("b" + b, mb[b], on));
        }
        return new PlacementProblem(100_000, kind.spread(), kind.level(), nodes, blocks);
    }

    /** The least full node for its weight, of a few drawn ones. */
    private static int leastFull(Kind kind, Random random, List<Integer> taken, boolean beside, long[] used,
            double[] weight, long[] disk) {
        int best = -1;
        for (int tries = 0; tries < 6 || best < 0; tries++) {
            int i = random.nextInt(used.length);
            boolean apart = beside && taken.size() < 2 ? !taken.contains(i)
                    : taken.stream().noneMatch(t -> t % kind.cells() == i % kind.cells());
            if (apart && (beside || taken.stream().noneMatch(t -> t == i))
                    && (best < 0 || used[i] / (weight[i] * disk[i]) < used[best] / (weight[best] * disk[best]))) {
                best = i;
            }
        }
        return best;
    }

    /** Prints a line for each kind and seed; how many seeds, nodes and blocks may be given. */
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
                PlacementProblem fleet = of(kind, seed, nodes, blocks);
                long begin = System.nanoTime();
                PlacementResult answer = PlacementPlanner.plan(fleet);
                double seconds = (System.nanoTime() - begin) / 1e9;
                if (answer instanceof PlacementResult.Plan plan) {
                    List<String> faults = PlanVerifier.violations(fleet, plan);
                    int waves = plan.moves().isEmpty() ? 0 : plan.moves().get(plan.moves().size() - 1).wave();
                    System.out.printf(
                            "%-29s seed %d: %6.2f s, %5d moves, %8d MB, bound %8d, ratio %.4f, %d waves, faults %d%n",
                            kind.name(), seed, seconds, plan.moves().size(), plan.copiedMb(), plan.lowerBoundMb(),
                            (double) plan.copiedMb() / Math.max(1, plan.lowerBoundMb()), waves, faults.size());
                } else if (answer instanceof PlacementResult.Infeasible none) {
                    System.out.printf("%-29s seed %d: %6.2f s, infeasible: %d reasons%n", kind.name(), seed, seconds,
                            none.conflict().size());
                } else {
                    System.out.printf("%-29s seed %d: %6.2f s, %s%n", kind.name(), seed, seconds, answer);
                }
            }
        }
    }
}
