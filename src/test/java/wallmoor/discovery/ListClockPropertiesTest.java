package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * The list's clock on the model: whatever befalls the watch, what counts as drained gets nothing new after its grace.
 */
class ListClockPropertiesTest {
    private static final long SECOND = ListModel.SECOND;

    @Property(tries = 2000, seed = "5")
    void whatCountsAsDrainedGetsNothingNew(@ForAll boolean pushed, @ForAll @IntRange(max = 3) int ask,
            @ForAll long seed) {
        var model = new ListModel(pushed, new long[] {0, SECOND / 2, 2 * SECOND, 10 * SECOND}[ask], seed);
        play(model);
    }

    private static void play(ListModel model) {
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
                case 7 -> model.endings = 1 + model.random.nextInt(2);
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
                    var model = new ListModel(pushed, SECOND, seed);
                    model.clockAsks = false;
                    play(model);
                }
            });
        }
    }

    /** A call that discovery answers at the last moment is still within the term of a watch that fell silent. */
    @Example
    void aSlowCallIsBorneWithinTheTerm() {
        for (int seed = 0; seed < 50; seed++) {
            var model = new ListModel(false, 10 * SECOND, seed);
            model.run(10 * SECOND);
            model.latency = ListClock.ANSWER - 2 * ListModel.STEP;
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
            var model = new ListModel(false, 10 * SECOND, seed);
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
                var model = new ListModel(false, 10 * SECOND, seed);
                model.clockAsks = with == 1;
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
        var model = new ListModel(pushed, 10 * SECOND, seed);
        model.run(5 * SECOND);
        model.down(outage * SECOND / 2);
        model.run(outage * SECOND / 2);
        model.drain();
        switch (unlucky) {
            case 1 -> model.refuse(1, ListClock.ANSWER - 4 * ListModel.STEP);
            case 2 -> model.refuse(1, 10 * SECOND); // given up
            case 3 -> model.endings = 1;
            default -> model.latency = ListClock.ANSWER - 4 * ListModel.STEP;
        }
        model.run(20 * SECOND);
    }

    /** A clock whose watch has just opened, after calls that failed; it has spoken if {@code spoke}. */
    private static ListClock opened(long seed, boolean spoke) {
        var clock = new ListClock(false, 10 * SECOND, 2 * SECOND, seed);
        clock.started(0);
        for (int failures = 0; failures < 4; failures++) {
            clock.called(failures * SECOND);
            clock.lost(failures * SECOND + 1);
        }
        clock.called(10 * SECOND);
        clock.asked(10 * SECOND);
        clock.opened(10 * SECOND);
        if (spoke) {
            clock.heard(10 * SECOND);
        }
        return clock;
    }

    /** A watch ends in place of telling; the next call is refused late, the one after it is answered late: in time. */
    @Property(tries = 1_000, seed = "11")
    void whatAnEndedWatchDidNotTellIsKnownInItsTerm(@ForAll boolean spoke, @ForAll long seed) {
        ListClock clock = opened(seed, spoke);
        long end = 10 * SECOND + 40_000;
        clock.lost(end);
        assertTrue(clock.callBy() <= end + ListClock.ENDED_SPREAD,
                "called " + (clock.callBy() - end) + " us after the end");
        long first = clock.callBy();
        clock.called(first);
        clock.asked(first);
        clock.lost(first + SECOND);
        long answered = clock.callBy() + 1_200_000;
        assertTrue(answered <= end + ListClock.ENDED_TERM + 2 * SECOND,
                "answered " + (answered - end) + " us after the end");
    }

    /** A discovery that ends each watch as it opens is asked no more often than one that refuses. */
    @Property(tries = 200, seed = "12")
    void aDiscoveryThatEndsEachWatchIsSpared(@ForAll boolean spoke, @ForAll long seed) {
        ListClock clock = opened(seed, spoke);
        long now = 10 * SECOND + 40_000;
        int calls = 0;
        for (; now < 70 * SECOND; calls++) {
            clock.lost(now);
            now = clock.callBy();
            clock.called(now);
            clock.asked(now);
            clock.opened(now);
            if (spoke) {
                clock.heard(now);
            }
            now += 40_000;
        }
        assertTrue(calls <= 4 + 60 * SECOND / (0.75 * ListClock.RETRY_PERIOD), calls + " calls in a minute");
    }

    /**
     * A call for a watch that can be spoken of in one state alone: what comes in another is a fault of the caller's.
     */
    @Example
    void eventsOutOfTheirOrderAreRefused() {
        var clock = new ListClock(false, 10 * SECOND, 2 * SECOND, 1);
        clock.started(0);
        assertThrows(IllegalStateException.class, () -> clock.asked(1));
        clock.called(1);
        assertThrows(IllegalStateException.class, () -> clock.called(2));
        assertThrows(IllegalStateException.class, () -> clock.opened(2));
        clock.asked(2);
        assertThrows(IllegalStateException.class, () -> clock.heard(3));
        clock.asked(3);
        clock.opened(4);
        assertThrows(IllegalStateException.class, () -> clock.asked(5));
        clock.heard(5);
        assertEquals(ListClock.State.SOUND, clock.state());
        clock.moved(6);
        assertEquals(ListClock.State.WAITING, clock.state());
        assertEquals(6, clock.callBy());
        assertThrows(IllegalStateException.class, () -> clock.heard(7), "a word of the call that was left behind");
    }

    /** A gatherer late itself takes what has come meanwhile, but no trickle. */
    @Example
    void whatIsUnreadIsTakenButNoTrickle() {
        var clock = new ListClock(false, 10 * SECOND, 2 * SECOND, 1);
        clock.started(0);
        clock.called(0);
        clock.asked(0);
        clock.opened(0);
        assertEquals(ListClock.SILENCE, clock.left(0));
        assertEquals(1_000, clock.left(9 * SECOND), "one look");
        assertEquals(1_000, clock.left(9 * SECOND + 200_000), "more lay there");
        assertEquals(0, clock.left(9 * SECOND + 250_000));
        clock.heard(9 * SECOND + 250_000);
        assertEquals(ListClock.SILENCE, clock.left(9 * SECOND + 250_000), "anew from the next object on");
    }

    /** All whose watches fall silent at once come spread, and each once. */
    @Example
    void aWatchSilentForAllIsAskedForSpread() {
        var at = new java.util.TreeSet<Long>();
        for (int seed = 0; seed < 100; seed++) {
            var clock = new ListClock(false, 10 * SECOND, 2 * SECOND, seed);
            clock.started(0);
            clock.called(0);
            clock.asked(1);
            clock.opened(2);
            clock.heard(4 * SECOND);
            assertTrue(!clock.lost(7 * SECOND));
            at.add(clock.callBy() - 7 * SECOND);
            clock.called(clock.callBy());
            assertTrue(clock.lost(8 * SECOND), "the second time it is the module's");
        }
        assertTrue(at.first() >= 0 && at.last() <= ListClock.SPREAD);
        for (long from = 0; from < 300_000; from += 50_000) { // a sixth of the time has a sixth of the calls
            int in = at.subSet(from, from + 50_000).size();
            assertTrue(in >= 6 && in <= 30, from + ": " + in);
        }
    }
}
