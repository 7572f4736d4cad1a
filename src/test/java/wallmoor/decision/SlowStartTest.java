package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against overload of a worker in slow start: any number of gatherers without coordination together send it at
 * most what the settings allow, in any window. Scenarios include bursts, restarts of gatherers, slow first connections
 * and late worker lists.
 */
class SlowStartTest {
    private static final int SCENARIOS = 12;
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;
    /** Shares of the gatherers that are restarted, by scenario in turn. */
    private static final double[] RESTARTED_SHARES = {0, 0.1, 0.7};

    private static RoutingSettings settings(Random random, int cells) {
        RoutingSettings defaults = new PolicyHarness.SiteSettings().settings();
        var rules = new PlatformRules(20_000, 2_000_000, 0.1 + 0.3 * random.nextDouble(),
                (8 + random.nextInt(11)) * 1_000_000L,
                1.5 + random.nextDouble(), 1_000_000 + random.nextLong(2_000_000), 10_000_000, 0, 0, 0);
        var limits = new PlatformLimits(true, false, false, false, true, 500_000, 4, 1000, 1, CONNECT_TIMEOUT_MICROS);
        return new RoutingSettings(1, 0, 0, PolicyHarness.ROUND_MICROS, false, defaults.classes(), List.of(), 0.1,
                false, false,
                new ShardLayout(3 * cells, cells, 1), limits, rules, defaults.costs());
    }

    private static SlowStartSimulation run(long seed, int gatherers, double restartedShare) {
        var random = new Random(seed);
        int cells = 2 + random.nextInt(3);
        RoutingSettings settings = settings(random, cells);
        long meanWork = 4_000 + random.nextLong(60_000);
        double load = 0.4 + 0.5 * random.nextDouble();
        return new SlowStartSimulation(
                new SlowStartSimulation.Scenario(seed, gatherers, cells, seed % 3 == 0 ? 3 * cells : 1, meanWork, load,
                        1.5, restartedShare, seed % 2 * CONNECT_TIMEOUT_MICROS, seed / 2 % 2 * 1_500_000),
                settings).run();
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 20, 30, 100})
    void staysBelowOverloadBoundInEveryWindow(int gatherers) {
        var violations = new ArrayList<String>();
        for (long seed = 0; seed < SCENARIOS; seed++) {
            SlowStartSimulation simulation = run(seed, gatherers,
                    RESTARTED_SHARES[(int) seed % RESTARTED_SHARES.length]);
            if (simulation.worstExcess() > 0) {
                violations.add("seed " + seed + ": " + simulation.worstExcess() + " parts too many");
            }
        }
        assertTrue(violations.isEmpty(), violations.toString());
    }
}
