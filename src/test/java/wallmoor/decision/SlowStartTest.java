package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Any number of modules that don't talk send a worker that is cold no more than the settings allow all of them
 * together, in whatever window: under a burst, with restarts of modules, slow first connections and lists that tell
 * late.
 */
class SlowStartTest {
    private static final int DAYS = 12;
    private static final long CONNECT = 250_000;
    /** Shares of the modules that are restarted, by day in turn. */
    private static final double[] RESTARTED = {0, 0.1, 0.7};

    private static RoutingSettings settings(Random random, int cells) {
        RoutingSettings usual = new PolicyHarness.SiteSettings().settings();
        var rules = new PlatformRules(20_000, 2_000_000, 0.1 + 0.3 * random.nextDouble(),
                (8 + random.nextInt(11)) * 1_000_000L,
                1.5 + random.nextDouble(), 1_000_000 + random.nextLong(2_000_000), 10_000_000, 0, 0, 0);
        var limits = new PlatformLimits(true, false, false, false, true, 500_000, 4, 1000, 1, CONNECT);
        return new RoutingSettings(1, 0, 0, PolicyHarness.ROUND, false, usual.classes(), List.of(), 0.1, false, false,
                new ShardLayout(3 * cells, cells, 1), limits, rules, usual.costs());
    }

    private static SlowStartSimulation played(long seed, int gatherers, double restarted) {
        var random = new Random(seed);
        int cells = 2 + random.nextInt(3);
        RoutingSettings settings = settings(random, cells);
        long work = 4_000 + random.nextLong(60_000);
        double load = 0.4 + 0.5 * random.nextDouble();
        return new SlowStartSimulation(
                new SlowStartSimulation.Scenario(seed, gatherers, cells, seed % 3 == 0 ? 3 * cells : 1, work, load, 1.5,
                        restarted, seed % 2 * CONNECT, seed / 2 % 2 * 1_500_000),
                settings).play();
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 20, 30, 100})
    void noWindowAtAWorkerInSlowStartExceedsTheBound(int gatherers) {
        var broken = new ArrayList<String>();
        for (long seed = 0; seed < DAYS; seed++) {
            SlowStartSimulation fleet = played(seed, gatherers, RESTARTED[(int) seed % RESTARTED.length]);
            if (fleet.worstExcess() > 0) {
                broken.add("seed " + seed + ": " + fleet.worstExcess() + " calls too many");
            }
        }
        assertTrue(broken.isEmpty(), broken.toString());
    }
}
