package wallmoor.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wallmoor.simulation.FaultInjector;
import wallmoor.simulation.GroupSimulation;
import wallmoor.simulation.RuleSimulation;

/** The promise on the simulation: small cases exhaustively, faults by seed, and a judge that can find fault. */
class LeaseInvariantsTest {
    private static final long SECOND = 1_000_000;
    private static final LeaseTiming TERMS = LeaseTiming.defaults();
    private static final long TICK = 100_000;

    private static RuleSimulation started(int count, long seed) {
        var simulation = new RuleSimulation(3, count, TERMS, TICK, 0, seed);
        simulation.startAll();
        return simulation;
    }

    private static void propose(RuleSimulation simulation, int open) {
        simulation.propose("{\"limits.open\": " + open + "}", "{\"limits.open\": 0}");
    }

    /** Proposes, again where that was lost, until all act wholly on it; the time it took, or -1 after two minutes. */
    private static long untilAll(RuleSimulation simulation, int count, int open) {
        long before = simulation.latestAccepted();
        long begun = simulation.cluster().now();
        for (int t = 0; t < 12_000; t++, simulation.cluster().run(10_000)) {
            long head = simulation.latestAccepted();
            if (head == before && t % 500 == 0) {
                propose(simulation, open);
            }
            if (head > before && IntStream.range(0, count)
                    .allMatch(i -> simulation.effectiveRule(i).basis() == EffectiveRule.Basis.VERSION
                            && simulation.effectiveRule(i).activeVersion() == head)) {
                return simulation.cluster().now() - begun;
            }
        }
        return -1;
    }

    /** From a proposal until a gatherer acts wholly on it. */
    private static long toAct(RuleSimulation simulation, int gatherer, int open) {
        long before = simulation.latestAccepted();
        long begun = simulation.cluster().now();
        propose(simulation, open);
        for (int t = 0; t < 2_000 && simulation.effectiveRule(gatherer).activeVersion() <= before; t++) {
            simulation.cluster().run(10_000);
        }
        return simulation.cluster().now() - begun;
    }

    private static void kept(RuleSimulation simulation, String what) {
        simulation.checker().end(simulation.cluster().now());
        assertTrue(simulation.checker().longestContradiction() <= TERMS.leaseTerm(),
                what + ": contradicted for " + simulation.checker().longestContradiction());
        assertTrue(simulation.checker().longestOverlap() <= 0,
                what + ": wholly for " + simulation.checker().longestOverlap());
    }

    @Example
    void quietAVersionActsEverywhereSoonAndSaysWhatItIs() {
        RuleSimulation simulation = started(9, 1);
        simulation.cluster().run(10 * SECOND);
        assertTrue(untilAll(simulation, 9, 5) >= 0);
        long took = untilAll(simulation, 9, 3);
        assertTrue(took >= 0 && took < SECOND, "took " + took);
        assertEquals(3, simulation.effectiveRule(8).body().amount("limits.open", -1));
        simulation.cluster().setLink(
                (from, to, now, r) -> from == 8 || to == 8 ? -1 : GroupSimulation.RELIABLE.delay(from, to, now, r));
        propose(simulation, 9);
        simulation.cluster().run(SECOND);
        assertEquals(EffectiveRule.Basis.CAREFUL, simulation.effectiveRule(7).basis());
        assertEquals(3, simulation.effectiveRule(7).body().amount("limits.open", -1),
                "what is added waits for the one that is cut off");
        propose(simulation, 2);
        simulation.cluster().run(SECOND);
        assertEquals(EffectiveRule.Basis.CAREFUL, simulation.effectiveRule(7).basis());
        assertEquals(2, simulation.effectiveRule(7).body().amount("limits.open", -1), "what is taken away does not");
        propose(simulation, 9);
        simulation.cluster().run(4 * SECOND);
        assertEquals(EffectiveRule.Basis.FALLBACK, simulation.effectiveRule(8).basis());
        assertEquals(0, simulation.effectiveRule(8).body().amount("limits.open", -1));
        assertEquals(9, simulation.effectiveRule(7).body().amount("limits.open", -1));
        kept(simulation, "quiet");
    }

    @Example
    void afterARestartOfAllNumbersGoOn() {
        RuleSimulation simulation = started(6, 4);
        simulation.cluster().run(8 * SECOND);
        assertTrue(untilAll(simulation, 6, 5) >= 0);
        long before = simulation.latestAccepted();
        IntStream.range(0, 6).forEach(simulation.cluster()::kill);
        simulation.cluster().run(SECOND);
        simulation.startAll();
        assertEquals(EffectiveRule.Basis.FALLBACK, simulation.effectiveRule(5).basis());
        assertTrue(untilAll(simulation, 6, 7) >= 0);
        assertTrue(simulation.effectiveRule(5).activeVersion() > before);
        kept(simulation, "restart");
    }

    @Example
    void aVoterThatIsAwayIsWaitedForOnce() {
        RuleSimulation simulation = started(9, 5);
        simulation.elect(0);
        simulation.cluster().run(8 * SECOND);
        simulation.cluster().kill(2);
        assertTrue(
                IntStream.range(5, 9).allMatch(i -> simulation.effectiveRule(i).basis() == EffectiveRule.Basis.NONE));
        long first = toAct(simulation, 8, 5);
        long second = toAct(simulation, 8, 6);
        assertTrue(first > TERMS.leaseTerm() && first < 2 * TERMS.leaseTerm(), "first " + first);
        assertTrue(second < TERMS.leaseTerm() / 2, "second " + second);
        kept(simulation, "away");
    }

    @Property(tries = 100, seed = "77")
    void underAnyFaultsNobodyContradictsForLongerThanTheTerm(@ForAll long seed, @ForAll boolean five) {
        int voters = five ? 5 : 3;
        var simulation = new RuleSimulation(voters, 12, TERMS, TICK, 0.2, seed);
        var faults = new FaultInjector(simulation.cluster(), voters, 12, seed, n -> {
            if (simulation.cluster().random().nextInt(3) == 0) {
                simulation.loseStoredVersions(n); // its disk is a new one
            }
            simulation.start(n);
        }, simulation::elect);
        faults.skewClocks(TERMS.clockDrift());
        simulation.startAll();
        simulation.cluster().run(8 * SECOND);
        for (int i = 0; i < 60; i++) {
            propose(simulation, i);
            simulation.cluster().run(faults.nextFaultDelay());
            faults.injectFault();
        }
        simulation.cluster().setLink(GroupSimulation.RELIABLE);
        IntStream.range(0, 12).filter(i -> !simulation.cluster().isUp(i)).forEach(simulation::start);
        simulation.cluster().run(30 * SECOND); // the last of pauses, a leader, the leases of one before
        assertTrue(untilAll(simulation, 12, 100) >= 0, "it goes on once faults are over");
        assertEquals(0, simulation.denials(), "nobody is denied for what it knows");
        kept(simulation, "seed " + seed);
    }

    /** All that may befall three that vote, of which the first leads, and a gatherer beside them. */
    private static final List<BiConsumer<RuleSimulation, boolean[]>> ALL = List.of(
            (m, cut) -> {},
            (m, cut) -> cut[0] = true,
            (m, cut) -> cut[1] = true,
            (m, cut) -> cut[3] = true,
            (m, cut) -> cut[4] = true, // deaf and heard
            (m, cut) -> m.cluster().pause(3, 3 * SECOND),
            (m, cut) -> m.cluster().kill(3),
            (m, cut) -> Arrays.fill(cut, false),
            (m, cut) -> m.cluster().pause(0, 6 * SECOND),
            (m, cut) -> m.cluster().pause(1, 6 * SECOND),
            (m, cut) -> m.cluster().kill(0),
            (m, cut) -> m.cluster().kill(1),
            (m, cut) -> IntStream.range(0, 4).filter(i -> !m.cluster().isUp(i)).forEach(m::start),
            (m, cut) -> m.elect(0),
            (m, cut) -> m.elect(1));

    /**
     * Two versions among four, the leader's clock as fast and another's as slow as may be; each order of {@link #ALL}
     * in so many steps, which are a part of a term apart so that leases begin and end between them; and that begun in
     * so many phases of the renewals.
     */
    static long[] everyOrder(int steps, LeaseTiming terms, long tick, int phases) {
        long worst = Long.MIN_VALUE;
        long wholly = Long.MIN_VALUE;
        for (int order = 0; order < phases * Math.pow(ALL.size(), steps); order++) {
            var simulation = new RuleSimulation(3, 4, terms, tick, 0, 1);
            boolean[] cut = new boolean[5];
            simulation.cluster().setClock(0, 1 + TERMS.clockDrift(), 5);
            simulation.cluster().setClock(3, 1 - TERMS.clockDrift(), 77);
            simulation.cluster()
                    .setLink((from, to, now, r) -> from != to && (cut[from] || cut[to] || (cut[4] && to == 3)) ? -1
                            : 2_000);
            simulation.startAll();
            simulation.elect(0);
            simulation.cluster().run(SECOND);
            propose(simulation, 5);
            simulation.cluster().run(7 * SECOND + order % phases * terms.renewalInterval() / phases);
            int left = order / phases;
            for (int step = 0; step < steps; step++) {
                ALL.get(left % ALL.size()).accept(simulation, cut);
                left /= ALL.size();
                if (step == 0) {
                    propose(simulation, 7);
                }
                simulation.cluster().run(1_300_000);
            }
            simulation.cluster().run(8 * SECOND);
            simulation.checker().end(simulation.cluster().now());
            worst = Math.max(worst, simulation.checker().longestContradiction());
            wholly = Math.max(wholly, simulation.checker().longestOverlap());
        }
        return new long[] {worst, wholly};
    }

    @Example
    void everyOrderOfCutsPausesCrashesAndLeaders() {
        long[] worst = everyOrder(3, TERMS, 4 * TICK, 1);
        assertTrue(worst[0] <= TERMS.leaseTerm() && worst[1] <= 0, Arrays.toString(worst));
        worst = everyOrder(1, TERMS, TICK / 10, 20);
        assertTrue(worst[0] <= TERMS.leaseTerm() && worst[1] <= 0, Arrays.toString(worst));
        assertTrue(worst[0] > 0.95 * TERMS.leaseTerm(), "the bound is nearly reached: " + Arrays.toString(worst));
    }

    /** Without the margin for clocks the same orders break the promise, and the judge sees it. */
    @Example
    void withoutAMarginForClocksTheJudgeFindsFault() {
        long[] worst = everyOrder(1, new LeaseTiming(TERMS.leaseTerm(), 0), TICK / 10, 20);
        assertTrue(worst[1] > 0, Arrays.toString(worst));
    }

    /** Each of the first ten messages after a proposal is lost or comes. */
    @Example
    void everyLossOfTheFirstMessages() {
        for (int lost = 0; lost < 1 << 10; lost++) {
            RuleSimulation simulation = started(3, 3);
            simulation.elect(0);
            simulation.cluster().run(7 * SECOND);
            assertTrue(untilAll(simulation, 3, 5) >= 0);
            int which = lost;
            int[] n = {0};
            simulation.cluster().setLink((from, to, now, r) -> n[0] < 10 && (which >> n[0]++ & 1) != 0 ? -1 : 2_000);
            assertTrue(untilAll(simulation, 3, 6) >= 0, "loss of " + Integer.toBinaryString(lost));
            kept(simulation, "loss of " + Integer.toBinaryString(lost));
        }
    }
}
