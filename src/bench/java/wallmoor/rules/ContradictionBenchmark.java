package wallmoor.rules;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import wallmoor.simulation.FaultInjector;
import wallmoor.simulation.InvariantChecker;
import wallmoor.simulation.RuleSimulation;
import wallmoor.simulation.SimulatedCluster;

/**
 * Measures how long gatherers act on contradicting versions, compared with two ways without consensus under the same
 * faults; then, without faults, how long a proposal takes until it is active everywhere. Arguments: gatherers, seeds,
 * faults for each seed.
 */
public final class ContradictionBenchmark {
    private static final long TICK_MICROS = 100_000;
    private static final int VOTERS = 3;
    private static final int PROPOSALS = 100;

    private ContradictionBenchmark() {}

    /** Prints a table in Markdown, then the latencies without faults. */
    public static void main(String[] args) {
        int count = Integer.parseInt(args[0]);
        int seeds = Integer.parseInt(args[1]);
        int faults = Integer.parseInt(args[2]);
        System.out.println("| " + count + " gatherers, " + seeds + " seeds of " + faults
                + " faults | worst, s | side by side, s | acting |");
        System.out.println("| --- | --- | --- | --- |");
        for (String way : new String[] {"leases", "last writer", "own file"}) {
            double[] worst = new double[3];
            for (int seed = 1; seed <= seeds; seed++) {
                double[] result = runWay(way, count, faults, seed);
                worst = new double[] {Math.max(worst[0], result[0]), seed == 1 ? result[1]
                        : Math.max(worst[1], result[1]),
                    worst[2] + result[2] / seeds};
            }
            System.out.println(String.format(Locale.ROOT, "| %s | %.2f | %s | %.1f %% |", way, worst[0],
                    worst[1] <= 0 ? "never" : String.format(Locale.ROOT, "%.2f", worst[1]), 100 * worst[2]));
        }
        measureWithoutFaults(count);
    }

    private static double[] runWay(String way, int count, int faults, long seed) {
        if (way.equals("leases")) {
            var simulation = new RuleSimulation(VOTERS, count, LeaseTiming.defaults(), TICK_MICROS, 0.1, seed);
            int[] nextLimit = {0};
            return runWithFaults(simulation.cluster(), simulation.checker(), count, faults, seed, simulation::start,
                    simulation::elect,
                    () -> simulation.propose("{\"limits.open\": " + nextLimit[0]++ + "}", "{\"limits.open\": 0}"));
        } else if (way.equals("last writer")) {
            var simulation = new LastWriterWinsBaseline(count, TICK_MICROS, seed);
            return runWithFaults(simulation.cluster, simulation.checker, count, faults, seed, simulation::start,
                    v -> {},
                    simulation::write);
        }
        var simulation = new LocalFileBaseline(count, TICK_MICROS, seed);
        return runWithFaults(simulation.cluster, simulation.checker, count, faults, seed, simulation::start, v -> {},
                simulation::write);
    }

    private static double[] runWithFaults(SimulatedCluster cluster, InvariantChecker checker, int count, int faults,
            long seed,
            IntConsumer start,
            IntConsumer elect, Runnable propose) {
        var faultInjector = new FaultInjector(cluster, VOTERS, count, seed, start, elect);
        faultInjector.skewClocks(LeaseTiming.defaults().clockDrift());
        IntStream.range(0, count).forEach(start);
        for (int i = 0; i < 12; i++) { // the first version becomes active before the first fault
            propose.run();
            cluster.run(1_000_000);
        }
        for (int i = 0; i < faults; i++) {
            propose.run();
            cluster.run(faultInjector.nextFaultDelay());
            faultInjector.injectFault();
        }
        checker.end(cluster.now());
        return new double[] {checker.longestContradiction() / 1e6, checker.longestOverlap() / 1e6,
            (double) checker.totalActing() / cluster.now() / count};
    }

    private static void measureWithoutFaults(int count) {
        var simulation = new RuleSimulation(VOTERS, count, LeaseTiming.defaults(), TICK_MICROS, 0, 1);
        simulation.startAll();
        simulation.cluster().run(15_000_000);
        double[] latency = new double[PROPOSALS];
        long startNanos = System.nanoTime();
        for (int proposal = 0; proposal < PROPOSALS; proposal++) {
            latency[proposal] = timeUntilActive(simulation, proposal, 0, count) / 1e3;
            simulation.cluster().run(300_000 + simulation.cluster().random().nextLong(1_000_000));
        }
        Arrays.sort(latency);
        System.out.println(String.format(Locale.ROOT,
                "%nquiet, %d proposals: proposal to acting everywhere p50 %.0f ms, p99 %.0f ms, worst %.0f ms (%.1f "
                        + "s of processor)",
                PROPOSALS, latency[PROPOSALS / 2], latency[PROPOSALS * 99 / 100], latency[PROPOSALS - 1],
                (System.nanoTime() - startNanos) / 1e9));
        measureLeaderLoss(simulation, count);
    }

    /** Returns the microseconds from a proposal until it is fully active at all gatherers from the given one on. */
    private static long timeUntilActive(RuleSimulation simulation, int open, int first, int count) {
        long previousVersion = simulation.latestAccepted();
        long startMicros = simulation.cluster().now();
        while (!simulation.propose("{\"limits.open\": " + open + "}", "{\"limits.open\": 0}")) {
            simulation.cluster().run(1_000);
        }
        while (!(simulation.latestAccepted() > previousVersion
                && IntStream.range(first, count)
                        .allMatch(i -> simulation.effectiveRule(i).activeVersion() == simulation.latestAccepted()
                                && simulation.effectiveRule(i).basis() == EffectiveRule.Basis.VERSION))) {
            simulation.cluster().run(1_000);
        }
        return simulation.cluster().now() - startMicros;
    }

    private static void measureLeaderLoss(RuleSimulation simulation, int count) {
        simulation.elect(0);
        simulation.cluster().run(7_000_000);
        simulation.cluster().kill(0);
        simulation.cluster().run(20_000);
        long latency = timeUntilActive(simulation, 1, 1, count);
        long secondLatency = timeUntilActive(simulation, 2, 1, count);
        simulation.elect(1);
        simulation.cluster().run(7_000_000);
        simulation.cluster().kill(1);
        long fallbackSamples = 0;
        long samples = 0;
        for (int i = 0; i < 200; i++, simulation.cluster().run(100_000)) {
            if (i == 30) {
                simulation.start(0);
                simulation.start(1);
            }
            fallbackSamples += IntStream.range(2, count)
                    .filter(n -> simulation.effectiveRule(n).basis() == EffectiveRule.Basis.FALLBACK).count();
            samples += count - 2;
        }
        System.out.println(String.format(Locale.ROOT,
                "leader killed, then a proposal: acts after %.1f s, the one after it %.1f s; two of three "
                        + "voters away for 3 s: %.4f of 20 s without a lease",
                latency / 1e6, secondLatency / 1e6, (double) fallbackSamples / samples));
    }
}
