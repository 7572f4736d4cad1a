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

/** The promise on the model: small cases exhaustively, faults by seed, and a judge that can find fault. */
class LeaseInvariantsTest {
    private static final long SECOND = 1_000_000;
    private static final LeaseTiming TERMS = LeaseTiming.defaults();
    private static final long TICK = 100_000;

    private static RuleSimulation started(int count, long seed) {
        var model = new RuleSimulation(3, count, TERMS, TICK, 0, seed);
        model.startAll();
        return model;
    }

    private static void propose(RuleSimulation model, int open) {
        model.propose("{\"limits.open\": " + open + "}", "{\"limits.open\": 0}");
    }

    /** Proposes, again where that was lost, until all act wholly on it; the time it took, or -1 after two minutes. */
    private static long untilAll(RuleSimulation model, int count, int open) {
        long before = model.latestAccepted();
        long begun = model.world().now();
        for (int t = 0; t < 12_000; t++, model.world().run(10_000)) {
            long head = model.latestAccepted();
            if (head == before && t % 500 == 0) {
                propose(model, open);
            }
            if (head > before && IntStream.range(0, count)
                    .allMatch(i -> model.effectiveRule(i).basis() == EffectiveRule.Basis.VERSION
                            && model.effectiveRule(i).activeVersion() == head)) {
                return model.world().now() - begun;
            }
        }
        return -1;
    }

    /** From a proposal until a gatherer acts wholly on it. */
    private static long toAct(RuleSimulation model, int gatherer, int open) {
        long before = model.latestAccepted();
        long begun = model.world().now();
        propose(model, open);
        for (int t = 0; t < 2_000 && model.effectiveRule(gatherer).activeVersion() <= before; t++) {
            model.world().run(10_000);
        }
        return model.world().now() - begun;
    }

    private static void kept(RuleSimulation model, String what) {
        model.checker().end(model.world().now());
        assertTrue(model.checker().longestContradiction() <= TERMS.leaseTerm(),
                what + ": contradicted for " + model.checker().longestContradiction());
        assertTrue(model.checker().longestOverlap() <= 0, what + ": wholly for " + model.checker().longestOverlap());
    }

    @Example
    void quietAVersionActsEverywhereSoonAndSaysWhatItIs() {
        RuleSimulation model = started(9, 1);
        model.world().run(10 * SECOND);
        assertTrue(untilAll(model, 9, 5) >= 0);
        long took = untilAll(model, 9, 3);
        assertTrue(took >= 0 && took < SECOND, "took " + took);
        assertEquals(3, model.effectiveRule(8).body().amount("limits.open", -1));
        model.world().setLink(
                (from, to, now, r) -> from == 8 || to == 8 ? -1 : GroupSimulation.RELIABLE.delay(from, to, now, r));
        propose(model, 9);
        model.world().run(SECOND);
        assertEquals(EffectiveRule.Basis.CAREFUL, model.effectiveRule(7).basis());
        assertEquals(3, model.effectiveRule(7).body().amount("limits.open", -1),
                "what is added waits for the one that is cut off");
        propose(model, 2);
        model.world().run(SECOND);
        assertEquals(EffectiveRule.Basis.CAREFUL, model.effectiveRule(7).basis());
        assertEquals(2, model.effectiveRule(7).body().amount("limits.open", -1), "what is taken away does not");
        propose(model, 9);
        model.world().run(4 * SECOND);
        assertEquals(EffectiveRule.Basis.FALLBACK, model.effectiveRule(8).basis());
        assertEquals(0, model.effectiveRule(8).body().amount("limits.open", -1));
        assertEquals(9, model.effectiveRule(7).body().amount("limits.open", -1));
        kept(model, "quiet");
    }

    @Example
    void afterARestartOfAllNumbersGoOn() {
        RuleSimulation model = started(6, 4);
        model.world().run(8 * SECOND);
        assertTrue(untilAll(model, 6, 5) >= 0);
        long before = model.latestAccepted();
        IntStream.range(0, 6).forEach(model.world()::kill);
        model.world().run(SECOND);
        model.startAll();
        assertEquals(EffectiveRule.Basis.FALLBACK, model.effectiveRule(5).basis());
        assertTrue(untilAll(model, 6, 7) >= 0);
        assertTrue(model.effectiveRule(5).activeVersion() > before);
        kept(model, "restart");
    }

    @Example
    void aVoterThatIsAwayIsWaitedForOnce() {
        RuleSimulation model = started(9, 5);
        model.elect(0);
        model.world().run(8 * SECOND);
        model.world().kill(2);
        assertTrue(IntStream.range(5, 9).allMatch(i -> model.effectiveRule(i).basis() == EffectiveRule.Basis.NONE));
        long first = toAct(model, 8, 5);
        long second = toAct(model, 8, 6);
        assertTrue(first > TERMS.leaseTerm() && first < 2 * TERMS.leaseTerm(), "first " + first);
        assertTrue(second < TERMS.leaseTerm() / 2, "second " + second);
        kept(model, "away");
    }

    @Property(tries = 100, seed = "77")
    void underAnyFaultsNobodyContradictsForLongerThanTheTerm(@ForAll long seed, @ForAll boolean five) {
        int voters = five ? 5 : 3;
        var model = new RuleSimulation(voters, 12, TERMS, TICK, 0.2, seed);
        var nemesis = new FaultInjector(model.world(), voters, 12, seed, n -> {
            if (model.world().random().nextInt(3) == 0) {
                model.loseStoredVersions(n); // its disk is a new one
            }
            model.start(n);
        }, model::elect);
        nemesis.skewClocks(TERMS.clockDrift());
        model.startAll();
        model.world().run(8 * SECOND);
        for (int i = 0; i < 60; i++) {
            propose(model, i);
            model.world().run(nemesis.nextPause());
            nemesis.injectFault();
        }
        model.world().setLink(GroupSimulation.RELIABLE);
        IntStream.range(0, 12).filter(i -> !model.world().isUp(i)).forEach(model::start);
        model.world().run(30 * SECOND); // the last of pauses, a leader, the leases of one before
        assertTrue(untilAll(model, 12, 100) >= 0, "it goes on once faults are over");
        assertEquals(0L, model.counts().get(1), "nobody is denied for what it knows");
        kept(model, "seed " + seed);
    }

    /** All that may befall three that vote, of which the first leads, and a gatherer beside them. */
    private static final List<BiConsumer<RuleSimulation, boolean[]>> ALL = List.of(
            (m, cut) -> {},
            (m, cut) -> cut[0] = true,
            (m, cut) -> cut[1] = true,
            (m, cut) -> cut[3] = true,
            (m, cut) -> cut[4] = true, // deaf and heard
            (m, cut) -> m.world().pause(3, 3 * SECOND),
            (m, cut) -> m.world().kill(3),
            (m, cut) -> Arrays.fill(cut, false),
            (m, cut) -> m.world().pause(0, 6 * SECOND),
            (m, cut) -> m.world().pause(1, 6 * SECOND),
            (m, cut) -> m.world().kill(0),
            (m, cut) -> m.world().kill(1),
            (m, cut) -> IntStream.range(0, 4).filter(i -> !m.world().isUp(i)).forEach(m::start),
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
            var model = new RuleSimulation(3, 4, terms, tick, 0, 1);
            boolean[] cut = new boolean[5];
            model.world().setClock(0, 1 + TERMS.clockDrift(), 5);
            model.world().setClock(3, 1 - TERMS.clockDrift(), 77);
            model.world()
                    .setLink((from, to, now, r) -> from != to && (cut[from] || cut[to] || cut[4] && to == 3) ? -1
                            : 2_000);
            model.startAll();
            model.elect(0);
            model.world().run(SECOND);
            propose(model, 5);
            model.world().run(7 * SECOND + order % phases * terms.renewalInterval() / phases);
            int left = order / phases;
            for (int step = 0; step < steps; step++) {
                ALL.get(left % ALL.size()).accept(model, cut);
                left /= ALL.size();
                if (step == 0) {
                    propose(model, 7);
                }
                model.world().run(1_300_000);
            }
            model.world().run(8 * SECOND);
            model.checker().end(model.world().now());
            worst = Math.max(worst, model.checker().longestContradiction());
            wholly = Math.max(wholly, model.checker().longestOverlap());
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
            RuleSimulation model = started(3, 3);
            model.elect(0);
            model.world().run(7 * SECOND);
            assertTrue(untilAll(model, 3, 5) >= 0);
            int which = lost;
            int[] n = {0};
            model.world().setLink((from, to, now, r) -> n[0] < 10 && (which >> n[0]++ & 1) != 0 ? -1 : 2_000);
            assertTrue(untilAll(model, 3, 6) >= 0, "loss of " + Integer.toBinaryString(lost));
            kept(model, "loss of " + Integer.toBinaryString(lost));
        }
    }
}
