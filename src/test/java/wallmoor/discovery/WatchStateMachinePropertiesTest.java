package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * The watch's state machine on the model: whatever befalls the watch, what counts as drained gets nothing new after its
 * grace.
 */
class WatchStateMachinePropertiesTest {
    private static final long SECOND = WatchModel.SECOND;

    @Property(tries = 2000, seed = "5")
    void whatCountsAsDrainedGetsNothingNew(@ForAll boolean pushed, @ForAll @IntRange(max = 3) int ask,
            @ForAll long seed) {
        var model = new WatchModel(pushed, new long[] {0, SECOND / 2, 2 * SECOND, 10 * SECOND}[ask], seed);
        play(model);
    }

    private static void play(WatchModel model) {
        model.run(3 * SECOND);
        for (int i = 0; i < 12; i++) {
            long lasts = model.random.nextInt(12_000) * 1_000L;
            switch (model.random.nextInt(14)) {
                case 0 -> model.silence();
                case 1 -> model.reset();
                case 2 -> model.down(lasts);
                case 3 -> model.cut(lasts);
                case 4 -> model.move();
                case 5 -> model.restart();
                case 6 -> model.refuse(1 + model.random.nextInt(3), model.random.nextInt(2_600) * 1_000L);
                case 7 -> model.endingWatches = 1 + model.random.nextInt(2);
                case 8 -> model.latency = 100_000 + model.random.nextInt(2_300) * 1_000L;
                case 9 -> {
                    model.down(lasts);
                    model.run(lasts);
                    model.drain(); // at the return
                }
                default -> model.drain();
            }
            model.run(model.random.nextInt(model.random.nextBoolean() ? 500 : 6_000) * 1_000L);
        }
        model.run(20 * SECOND);
    }

    /** The judge is no dummy: with the module's waits alone some order breaks the terms, both ways of telling. */
    @Example
    void withoutTheClockTheTermsAreBroken() {
        for (boolean pushed : new boolean[] {true, false}) {
            assertThrows(AssertionError.class, () -> {
                for (int seed = 0; seed < 500; seed++) {
                    var model = new WatchModel(pushed, SECOND, seed);
                    model.machineSchedulesCalls = false;
                    play(model);
                }
            });
        }
    }

    /** A call that discovery answers at the last moment is still within the term of a watch that fell silent. */
    @Example
    void aSlowCallIsBorneWithinTheTerm() {
        for (int seed = 0; seed < 50; seed++) {
            var model = new WatchModel(false, 10 * SECOND, seed);
            model.run(10 * SECOND);
            model.latency = WatchTimings.RESPONSE_TIMEOUT_MICROS - 2 * WatchModel.STEP;
            model.silence();
            model.drain();
            model.run(20 * SECOND);
            assertEquals(0, model.lastKnownAfter);
        }
    }

    /** Cut off for longer than the term: what drains after the cut counts at once, and the module would still wait. */
    @Example
    void afterALongCutOfASilentWatchItIsAskedSoon() {
        for (int seed = 0; seed < 100; seed++) {
            var model = new WatchModel(false, 10 * SECOND, seed);
            model.run(10 * SECOND);
            model.cut(12 * SECOND);
            model.run(12_600_000);
            model.drain();
            model.run(10 * SECOND);
        }
    }

    /**
     * A start, an outage and a reset cost discovery as many calls as the module alone would make. In the outage it is
     * tried more often, as a change at its return counts 6 s later: what finds nobody costs discovery nothing.
     */
    @Example
    void discoveryIsAskedHardlyMoreThanByTheModule() {
        int[] reached = new int[2];
        int[] calls = new int[2];
        for (int seed = 0; seed < 200; seed++) {
            for (int with = 0; with < 2; with++) {
                var model = new WatchModel(false, 10 * SECOND, seed);
                model.machineSchedulesCalls = with == 1;
                model.run(5 * SECOND);
                model.down(60 * SECOND);
                model.run(70 * SECOND);
                model.reset();
                model.run(10 * SECOND);
                reached[with] += model.reached;
                calls[with] += model.calls;
            }
        }
        assertEquals(reached[0], reached[1], 0.02 * reached[0], "calls that reach discovery");
        assertTrue(calls[1] <= 2 * calls[0], "calls in all: " + calls[1] + " for " + calls[0]);
    }

    /**
     * Discovery returns, a worker drains at once, and the first calls are refused, slow or in vain: 6 s all the same.
     */
    @Property(tries = 500, seed = "7")
    void whatDrainsAtTheReturnCountsSixSecondsLater(@ForAll boolean pushed, @ForAll @IntRange(max = 3) int unlucky,
            @ForAll @IntRange(max = 60) int outage, @ForAll long seed) {
        var model = new WatchModel(pushed, 10 * SECOND, seed);
        model.run(5 * SECOND);
        model.down(outage * SECOND / 2);
        model.run(outage * SECOND / 2);
        model.drain();
        switch (unlucky) {
            case 1 -> model.refuse(1, WatchTimings.RESPONSE_TIMEOUT_MICROS - 4 * WatchModel.STEP);
            case 2 -> model.refuse(1, 10 * SECOND); // given up
            case 3 -> model.endingWatches = 1;
            default -> model.latency = WatchTimings.RESPONSE_TIMEOUT_MICROS - 4 * WatchModel.STEP;
        }
        model.run(20 * SECOND);
    }

    /** A machine whose watch has just opened, after calls that failed; it has spoken if {@code spoke}. */
    private static WatchStateMachine opened(long seed, boolean spoke) {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND, 2 * SECOND), seed);
        machine.onProcessStarted(0);
        for (int failures = 0; failures < 4; failures++) {
            machine.onCallStarted(failures * SECOND);
            machine.onWatchLost(failures * SECOND + 1);
        }
        machine.onCallStarted(10 * SECOND);
        machine.onRequestSent(10 * SECOND);
        machine.onStreamOpened(10 * SECOND);
        if (spoke) {
            machine.onEventReceived(10 * SECOND);
        }
        return machine;
    }

    /** A watch ends in place of telling; the next call is refused late, the one after it is answered late: in time. */
    @Property(tries = 1_000, seed = "11")
    void whatAnEndedWatchDidNotTellIsKnownInItsTerm(@ForAll boolean spoke, @ForAll long seed) {
        WatchStateMachine machine = opened(seed, spoke);
        long end = 10 * SECOND + 40_000;
        machine.onWatchLost(end);
        assertTrue(machine.nextCallBy() <= end + WatchTimings.ENDED_JITTER_MICROS,
                "called " + (machine.nextCallBy() - end) + " us after the end");
        long first = machine.nextCallBy();
        machine.onCallStarted(first);
        machine.onRequestSent(first);
        machine.onWatchLost(first + SECOND);
        long answered = machine.nextCallBy() + 1_200_000;
        assertTrue(answered <= end + WatchTimings.ENDED_STALENESS_BOUND_MICROS + 2 * SECOND,
                "answered " + (answered - end) + " us after the end");
    }

    /** A discovery that ends each watch as it opens is asked no more often than one that refuses. */
    @Property(tries = 200, seed = "12")
    void aDiscoveryThatEndsEachWatchIsSpared(@ForAll boolean spoke, @ForAll long seed) {
        WatchStateMachine machine = opened(seed, spoke);
        long now = 10 * SECOND + 40_000;
        int calls = 0;
        for (; now < 70 * SECOND; calls++) {
            machine.onWatchLost(now);
            now = machine.nextCallBy();
            machine.onCallStarted(now);
            machine.onRequestSent(now);
            machine.onStreamOpened(now);
            if (spoke) {
                machine.onEventReceived(now);
            }
            now += 40_000;
        }
        assertTrue(calls <= 4 + 60 * SECOND / (0.75 * WatchTimings.RETRY_PERIOD_MICROS),
                calls + " calls in a minute");
    }

    /**
     * A call for a watch that can be spoken of in one state alone: what comes in another is a fault of the caller's.
     */
    @Example
    void eventsOutOfTheirOrderAreRefused() {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND, 2 * SECOND), 1);
        machine.onProcessStarted(0);
        assertThrows(IllegalStateException.class, () -> machine.onRequestSent(1));
        machine.onCallStarted(1);
        assertThrows(IllegalStateException.class, () -> machine.onCallStarted(2));
        assertThrows(IllegalStateException.class, () -> machine.onStreamOpened(2));
        machine.onRequestSent(2);
        assertThrows(IllegalStateException.class, () -> machine.onEventReceived(3));
        machine.onRequestSent(3);
        machine.onStreamOpened(4);
        assertThrows(IllegalStateException.class, () -> machine.onRequestSent(5));
        machine.onEventReceived(5);
        assertEquals(WatchState.SYNCED, machine.state());
        machine.onDiscoveryMoved(6);
        assertEquals(WatchState.IDLE, machine.state());
        assertEquals(6, machine.nextCallBy());
        assertThrows(IllegalStateException.class, () -> machine.onEventReceived(7),
                "a word of the call that was left behind");
    }

    /** A gatherer late itself takes what has come meanwhile, but no trickle. */
    @Example
    void whatIsUnreadIsTakenButNoTrickle() {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND, 2 * SECOND), 1);
        machine.onProcessStarted(0);
        machine.onCallStarted(0);
        machine.onRequestSent(0);
        machine.onStreamOpened(0);
        assertEquals(WatchTimings.SILENCE_TIMEOUT_MICROS, machine.remainingMicros(0));
        assertEquals(1_000, machine.remainingMicros(9 * SECOND), "one look");
        assertEquals(1_000, machine.remainingMicros(9 * SECOND + 200_000), "more lay there");
        assertEquals(0, machine.remainingMicros(9 * SECOND + 250_000));
        machine.onEventReceived(9 * SECOND + 250_000);
        assertEquals(WatchTimings.SILENCE_TIMEOUT_MICROS, machine.remainingMicros(9 * SECOND + 250_000),
                "anew from the next object on");
    }

    /** All whose watches fall silent at once come spread, and each once. */
    @Example
    void aWatchSilentForAllIsAskedForSpread() {
        var at = new java.util.TreeSet<Long>();
        for (int seed = 0; seed < 100; seed++) {
            var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND, 2 * SECOND), seed);
            machine.onProcessStarted(0);
            machine.onCallStarted(0);
            machine.onRequestSent(1);
            machine.onStreamOpened(2);
            machine.onEventReceived(4 * SECOND);
            assertTrue(!machine.onWatchLost(7 * SECOND));
            at.add(machine.nextCallBy() - 7 * SECOND);
            machine.onCallStarted(machine.nextCallBy());
            assertTrue(machine.onWatchLost(8 * SECOND), "the second time it is the module's");
        }
        assertTrue(at.first() >= 0 && at.last() <= WatchTimings.RECONNECT_JITTER_MICROS);
        for (long from = 0; from < 300_000; from += 50_000) { // a sixth of the time has a sixth of the calls
            int in = at.subSet(from, from + 50_000).size();
            assertTrue(in >= 6 && in <= 30, from + ": " + in);
        }
    }
}
