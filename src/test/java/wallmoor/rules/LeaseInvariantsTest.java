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

/**
 * Tests in simulation that gatherers never act on contradicting versions for longer than a lease term: exhaustively for
 * small cases, with random faults, and with a check that the invariant checker detects violations.
 */
class LeaseInvariantsTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final LeaseTiming TIMING = LeaseTiming.defaults();
    private static final long TICK_MICROS = 100_000;

    private static RuleSimulation startSimulation(int nodes, long seed) {
        var simulation = new RuleSimulation(3, nodes, TIMING, TICK_MICROS, 0, seed);
        simulation.startAll();
        return simulation;
    }

    private static void propose(RuleSimulation simulation, int limit) {
        simulation.propose("{\"limits.open\": " + limit + "}", "{\"limits.open\": 0}");
    }

    /**
     * Proposes a version, again if the proposal was lost, until it is active at all nodes. Returns the time taken in
     * microseconds, or -1 after two minutes.
     */
    private static long timeUntilActiveEverywhere(RuleSimulation simulation, int nodes, int limit) {
        long before = simulation.latestAccepted();
        long startedAt = simulation.cluster().now();
        for (int i = 0; i < 12_000; i++, simulation.cluster().run(10_000)) {
            long latest = simulation.latestAccepted();
            if (latest == before && i % 500 == 0) {
                propose(simulation, limit);
            }
            if (latest > before && IntStream.range(0, nodes)
                    .allMatch(node -> simulation.effectiveRule(node).basis() == EffectiveRule.Basis.VERSION
                            && simulation.effectiveRule(node).activeVersion() == latest)) {
                return simulation.cluster().now() - startedAt;
            }
        }
        return -1;
    }

    /** Returns the time in microseconds from a proposal until the new version is active at a gatherer. */
    private static long timeUntilActive(RuleSimulation simulation, int gatherer, int limit) {
        long before = simulation.latestAccepted();
        long startedAt = simulation.cluster().now();
        propose(simulation, limit);
        for (int i = 0; i < 2_000 && simulation.effectiveRule(gatherer).activeVersion() <= before; i++) {
            simulation.cluster().run(10_000);
        }
        return simulation.cluster().now() - startedAt;
    }

    private static void assertInvariants(RuleSimulation simulation, String scenario) {
        simulation.checker().end(simulation.cluster().now());
        assertTrue(simulation.checker().longestContradiction() <= TIMING.leaseTerm(),
                scenario + ": contradicting versions for " + simulation.checker().longestContradiction() + " us");
        assertTrue(simulation.checker().longestOverlap() <= 0,
                scenario + ": overlapping active versions for " + simulation.checker().longestOverlap() + " us");
    }

    @Example
    void activatesVersionWithinASecondAndAppliesRestrictionsBeforeActivation() {
        RuleSimulation simulation = startSimulation(9, 1);
        simulation.cluster().run(10 * SECOND_MICROS);
        assertTrue(timeUntilActiveEverywhere(simulation, 9, 5) >= 0);
        long duration = timeUntilActiveEverywhere(simulation, 9, 3);
        assertTrue(duration >= 0 && duration < SECOND_MICROS, "activated after " + duration + " us");
        assertEquals(3, simulation.effectiveRule(8).body().amount("limits.open", -1));
        simulation.cluster().setLink(
                (from, to, now, r) -> from == 8 || to == 8 ? -1 : GroupSimulation.RELIABLE.delay(from, to, now, r));
        propose(simulation, 9);
        simulation.cluster().run(SECOND_MICROS);
        assertEquals(EffectiveRule.Basis.CAREFUL, simulation.effectiveRule(7).basis());
        assertEquals(3, simulation.effectiveRule(7).body().amount("limits.open", -1),
                "a permission is not in effect while a disconnected gatherer has a lease");
        propose(simulation, 2);
        simulation.cluster().run(SECOND_MICROS);
        assertEquals(EffectiveRule.Basis.CAREFUL, simulation.effectiveRule(7).basis());
        assertEquals(2, simulation.effectiveRule(7).body().amount("limits.open", -1),
                "a restriction is in effect at once");
        propose(simulation, 9);
        simulation.cluster().run(4 * SECOND_MICROS);
        assertEquals(EffectiveRule.Basis.FALLBACK, simulation.effectiveRule(8).basis());
        assertEquals(0, simulation.effectiveRule(8).body().amount("limits.open", -1));
        assertEquals(9, simulation.effectiveRule(7).body().amount("limits.open", -1));
        assertInvariants(simulation, "quiet");
    }

    @Example
    void versionNumbersIncreaseAfterRestartOfAllNodes() {
        RuleSimulation simulation = startSimulation(6, 4);
        simulation.cluster().run(8 * SECOND_MICROS);
        assertTrue(timeUntilActiveEverywhere(simulation, 6, 5) >= 0);
        long before = simulation.latestAccepted();
        IntStream.range(0, 6).forEach(simulation.cluster()::kill);
        simulation.cluster().run(SECOND_MICROS);
        simulation.startAll();
        assertEquals(EffectiveRule.Basis.FALLBACK, simulation.effectiveRule(5).basis());
        assertTrue(timeUntilActiveEverywhere(simulation, 6, 7) >= 0);
        assertTrue(simulation.effectiveRule(5).activeVersion() > before);
        assertInvariants(simulation, "restart");
    }

    @Example
    void waitsLeaseTermForVerdictOfStoppedVoterOnlyOnce() {
        RuleSimulation simulation = startSimulation(9, 5);
        simulation.elect(0);
        simulation.cluster().run(8 * SECOND_MICROS);
        simulation.cluster().kill(2);
        assertTrue(
                IntStream.range(5, 9).allMatch(i -> simulation.effectiveRule(i).basis() == EffectiveRule.Basis.NONE));
        long first = timeUntilActive(simulation, 8, 5);
        long second = timeUntilActive(simulation, 8, 6);
        assertTrue(first > TIMING.leaseTerm() && first < 2 * TIMING.leaseTerm(), "first " + first);
        assertTrue(second < TIMING.leaseTerm() / 2, "second " + second);
        assertInvariants(simulation, "away");
    }

    @Property(tries = 100, seed = "77")
    void contradictionsLastAtMostLeaseTermUnderRandomFaults(@ForAll long seed, @ForAll boolean hasFiveVoters) {
        int voters = hasFiveVoters ? 5 : 3;
        var simulation = new RuleSimulation(voters, 12, TIMING, TICK_MICROS, 0.2, seed);
        var faults = new FaultInjector(simulation.cluster(), voters, 12, seed, n -> {
            if (simulation.cluster().random().nextInt(3) == 0) {
                simulation.loseStoredVersions(n); // the node restarts with an empty disk
            }
            simulation.start(n);
        }, simulation::elect);
        faults.skewClocks(TIMING.clockDrift());
        simulation.startAll();
        simulation.cluster().run(8 * SECOND_MICROS);
        for (int i = 0; i < 60; i++) {
            propose(simulation, i);
            simulation.cluster().run(faults.nextFaultDelay());
            faults.injectFault();
        }
        simulation.cluster().setLink(GroupSimulation.RELIABLE);
        IntStream.range(0, 12).filter(i -> !simulation.cluster().isUp(i)).forEach(simulation::start);
        simulation.cluster().run(30 * SECOND_MICROS); // the last pauses, an election, the leases of the previous leader
        assertTrue(timeUntilActiveEverywhere(simulation, 12, 100) >= 0,
                "a version is activated after the faults have ended");
        assertEquals(0, simulation.denials(), "no lease request is denied");
        assertInvariants(simulation, "seed " + seed);
    }

    /** All faults and repairs of three voters, of which the first is the leader, and one gatherer. */
    private static final List<BiConsumer<RuleSimulation, boolean[]>> STEPS = List.of(
            (m, cut) -> {},
            (m, cut) -> cut[0] = true,
            (m, cut) -> cut[1] = true,
            (m, cut) -> cut[3] = true,
            (m, cut) -> cut[4] = true, // node 3 receives no messages, but sends
            (m, cut) -> m.cluster().pause(3, 3 * SECOND_MICROS),
            (m, cut) -> m.cluster().kill(3),
            (m, cut) -> Arrays.fill(cut, false),
            (m, cut) -> m.cluster().pause(0, 6 * SECOND_MICROS),
            (m, cut) -> m.cluster().pause(1, 6 * SECOND_MICROS),
            (m, cut) -> m.cluster().kill(0),
            (m, cut) -> m.cluster().kill(1),
            (m, cut) -> IntStream.range(0, 4).filter(i -> !m.cluster().isUp(i)).forEach(m::start),
            (m, cut) -> m.elect(0),
            (m, cut) -> m.elect(1));

    /**
     * Simulates each sequence of {@link #STEPS} with two versions and four nodes. The leader's clock is as fast as
     * allowed and the gatherer's as slow as allowed. The steps are a part of a lease term apart, so that leases start
     * and expire between them.
     *
     * @param steps  length of a sequence
     * @param phases number of start times within a renewal interval
     * @return the longest contradiction and the longest overlap of active versions, microseconds
     */
    static long[] worstOfAllSequences(int steps, LeaseTiming timing, long tick, int phases) {
        long longestContradiction = Long.MIN_VALUE;
        long longestOverlap = Long.MIN_VALUE;
        for (int sequence = 0; sequence < phases * Math.pow(STEPS.size(), steps); sequence++) {
            var simulation = new RuleSimulation(3, 4, timing, tick, 0, 1);
            boolean[] cut = new boolean[5];
            simulation.cluster().setClock(0, 1 + TIMING.clockDrift(), 5);
            simulation.cluster().setClock(3, 1 - TIMING.clockDrift(), 77);
            simulation.cluster()
                    .setLink((from, to, now, r) -> from != to && (cut[from] || cut[to] || (cut[4] && to == 3)) ? -1
                            : 2_000);
            simulation.startAll();
            simulation.elect(0);
            simulation.cluster().run(SECOND_MICROS);
            propose(simulation, 5);
            simulation.cluster().run(7 * SECOND_MICROS + sequence % phases * timing.renewalInterval() / phases);
            int remaining = sequence / phases;
            for (int step = 0; step < steps; step++) {
                STEPS.get(remaining % STEPS.size()).accept(simulation, cut);
                remaining /= STEPS.size();
                if (step == 0) {
                    propose(simulation, 7);
                }
                simulation.cluster().run(1_300_000);
            }
            simulation.cluster().run(8 * SECOND_MICROS);
            simulation.checker().end(simulation.cluster().now());
            longestContradiction = Math.max(longestContradiction, simulation.checker().longestContradiction());
            longestOverlap = Math.max(longestOverlap, simulation.checker().longestOverlap());
        }
        return new long[] {longestContradiction, longestOverlap};
    }

    @Example
    void contradictionsLastAtMostLeaseTermForAllSequencesOfFaults() {
        long[] worst = worstOfAllSequences(3, TIMING, 4 * TICK_MICROS, 1);
        assertTrue(worst[0] <= TIMING.leaseTerm() && worst[1] <= 0, Arrays.toString(worst));
        worst = worstOfAllSequences(1, TIMING, TICK_MICROS / 10, 20);
        assertTrue(worst[0] <= TIMING.leaseTerm() && worst[1] <= 0, Arrays.toString(worst));
        assertTrue(worst[0] > 0.95 * TIMING.leaseTerm(),
                "the longest contradiction is close to the bound: " + Arrays.toString(worst));
    }

    /** Without a margin for clock drift, the same sequences break the invariant, which the checker must detect. */
    @Example
    void checkerDetectsOverlapWithoutMarginForClockDrift() {
        long[] worst = worstOfAllSequences(1, new LeaseTiming(TIMING.leaseTerm(), 0), TICK_MICROS / 10, 20);
        assertTrue(worst[1] > 0, Arrays.toString(worst));
    }

    /** Tests all combinations of lost and delivered messages among the first ten after a proposal. */
    @Example
    void activatesVersionDespiteAnyLossOfTheFirstTenMessages() {
        for (int lost = 0; lost < 1 << 10; lost++) {
            RuleSimulation simulation = startSimulation(3, 3);
            simulation.elect(0);
            simulation.cluster().run(7 * SECOND_MICROS);
            assertTrue(timeUntilActiveEverywhere(simulation, 3, 5) >= 0);
            int lostBits = lost;
            int[] sent = {0};
            simulation.cluster()
                    .setLink((from, to, now, r) -> sent[0] < 10 && (lostBits >> sent[0]++ & 1) != 0 ? -1 : 2_000);
            assertTrue(timeUntilActiveEverywhere(simulation, 3, 6) >= 0, "loss of " + Integer.toBinaryString(lost));
            assertInvariants(simulation, "loss of " + Integer.toBinaryString(lost));
        }
    }
}
