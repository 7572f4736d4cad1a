package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Runs {@link WatchStateMachine} against {@link WatchModel} with random faults, and checks its retry times alone.
 */
class WatchStateMachinePropertiesTest {
    private static final long SECOND_MICROS = WatchModel.SECOND_MICROS;

    /** Guards against use of a worker after its drain counts as notified and the grace is over. */
    @Property(tries = 2000, seed = "5")
    void workerIsNotUsedAfterDrainAndGraceUnderRandomFaults(@ForAll boolean pushed,
            @ForAll @IntRange(max = 3) int pollIntervalIndex,
            @ForAll long seed) {
        var model = new WatchModel(pushed,
                new long[] {0, SECOND_MICROS / 2, 2 * SECOND_MICROS, 10 * SECOND_MICROS}[pollIntervalIndex], seed);
        injectRandomFaults(model);
    }

    private static void injectRandomFaults(WatchModel model) {
        model.run(3 * SECOND_MICROS);
        for (int i = 0; i < 12; i++) {
            long durationMicros = model.random.nextInt(12_000) * 1_000L;
            switch (model.random.nextInt(14)) {
                case 0 -> model.fallSilent();
                case 1 -> model.reset();
                case 2 -> model.takeDown(durationMicros);
                case 3 -> model.partition(durationMicros);
                case 4 -> model.moveDiscovery();
                case 5 -> model.restart();
                case 6 -> model.refuse(1 + model.random.nextInt(3), model.random.nextInt(2_600) * 1_000L);
                case 7 -> model.remainingEarlyEnds = 1 + model.random.nextInt(2);
                case 8 -> model.latencyMicros = 100_000 + model.random.nextInt(2_300) * 1_000L;
                case 9 -> {
                    model.takeDown(durationMicros);
                    model.run(durationMicros);
                    model.drain(); // just as discovery returns
                }
                default -> model.drain();
            }
            model.run(model.random.nextInt(model.random.nextBoolean() ? 500 : 6_000) * 1_000L);
        }
        model.run(20 * SECOND_MICROS);
    }

    /** Guards against a model that detects nothing: with the decision module's waits alone, its rules are broken. */
    @Example
    void modelFailsWithoutTheMachinesSchedule() {
        for (boolean pushed : new boolean[] {true, false}) {
            assertThrows(AssertionError.class, () -> {
                for (int seed = 0; seed < 500; seed++) {
                    var model = new WatchModel(pushed, SECOND_MICROS, seed);
                    model.machineSchedulesCalls = false;
                    injectRandomFaults(model);
                }
            });
        }
    }

    /** After a watch fell silent, a call that discovery answers at the last moment still delivers the drain in time. */
    @Example
    void slowCallAfterSilenceStaysWithinStalenessBound() {
        for (int seed = 0; seed < 50; seed++) {
            var model = new WatchModel(false, 10 * SECOND_MICROS, seed);
            model.run(10 * SECOND_MICROS);
            model.latencyMicros = WatchTimings.RESPONSE_TIMEOUT_MICROS - 2 * WatchModel.STEP_MICROS;
            model.fallSilent();
            model.drain();
            model.run(20 * SECOND_MICROS);
            assertEquals(0, model.maxDelayAfterNotified);
        }
    }

    /**
     * After a partition of a silent watch for longer than the staleness bound, a new drain counts as notified at once,
     * while the decision module would still back off.
     */
    @Example
    void callsSoonAfterLongPartitionOfSilentWatch() {
        for (int seed = 0; seed < 100; seed++) {
            var model = new WatchModel(false, 10 * SECOND_MICROS, seed);
            model.run(10 * SECOND_MICROS);
            model.partition(12 * SECOND_MICROS);
            model.run(12_600_000);
            model.drain();
            model.run(10 * SECOND_MICROS);
        }
    }

    /**
     * Guards against a machine that overloads discovery: over a start, an outage and a reset, about as many calls reach
     * discovery as with the decision module alone. During the outage the machine calls more often, as a change made
     * when discovery returns counts as notified 6 s later; those calls cost discovery nothing.
     */
    @Example
    void machineHardlyAddsCallsThatReachDiscovery() {
        int[] callsReachingDiscovery = new int[2];
        int[] calls = new int[2];
        for (int seed = 0; seed < 200; seed++) {
            for (int scheduled = 0; scheduled < 2; scheduled++) {
                var model = new WatchModel(false, 10 * SECOND_MICROS, seed);
                model.machineSchedulesCalls = scheduled == 1;
                model.run(5 * SECOND_MICROS);
                model.takeDown(60 * SECOND_MICROS);
                model.run(70 * SECOND_MICROS);
                model.reset();
                model.run(10 * SECOND_MICROS);
                callsReachingDiscovery[scheduled] += model.callsReachingDiscovery;
                calls[scheduled] += model.calls;
            }
        }
        assertEquals(callsReachingDiscovery[0], callsReachingDiscovery[1], 0.02 * callsReachingDiscovery[0],
                "calls that reach discovery");
        assertTrue(calls[1] <= 2 * calls[0],
                "all calls: " + calls[1] + " with the machine's schedule, " + calls[0] + " without");
    }

    /**
     * A worker drains just as discovery returns, and the first call is refused, given up, ended early or slow: the
     * drain is still received within 6 s and the grace.
     */
    @Property(tries = 500, seed = "7")
    void drainAtDiscoverysReturnIsReceivedInTimeDespiteOneFault(@ForAll boolean pushed,
            @ForAll @IntRange(max = 3) int fault, @ForAll @IntRange(max = 60) int outageHalfSeconds,
            @ForAll long seed) {
        var model = new WatchModel(pushed, 10 * SECOND_MICROS, seed);
        model.run(5 * SECOND_MICROS);
        model.takeDown(outageHalfSeconds * SECOND_MICROS / 2);
        model.run(outageHalfSeconds * SECOND_MICROS / 2);
        model.drain();
        switch (fault) {
            case 1 -> model.refuse(1, WatchTimings.RESPONSE_TIMEOUT_MICROS - 4 * WatchModel.STEP_MICROS);
            case 2 -> model.refuse(1, 10 * SECOND_MICROS); // the call is given up
            case 3 -> model.remainingEarlyEnds = 1;
            default -> model.latencyMicros = WatchTimings.RESPONSE_TIMEOUT_MICROS - 4 * WatchModel.STEP_MICROS;
        }
        model.run(20 * SECOND_MICROS);
    }

    /**
     * Returns a machine whose watch was just opened after four failed calls.
     *
     * @param hasReported whether the watch has reported something
     */
    private static WatchStateMachine openedWatch(long seed, boolean hasReported) {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND_MICROS, 2 * SECOND_MICROS), seed);
        machine.onProcessStarted(0);
        for (int failures = 0; failures < 4; failures++) {
            machine.onCallStarted(failures * SECOND_MICROS);
            machine.onWatchLost(failures * SECOND_MICROS + 1);
        }
        machine.onCallStarted(10 * SECOND_MICROS);
        machine.onRequestSent(10 * SECOND_MICROS);
        machine.onStreamOpened(10 * SECOND_MICROS);
        if (hasReported) {
            machine.onEventReceived(10 * SECOND_MICROS);
        }
        return machine;
    }

    /**
     * A watch ends without reporting a drain, the next call is refused late, and the one after it is answered late: the
     * drain is still received before its bound and grace are over.
     */
    @Property(tries = 1_000, seed = "11")
    void changeMissedByEndedWatchIsReceivedWithinBound(@ForAll boolean hasReported, @ForAll long seed) {
        WatchStateMachine machine = openedWatch(seed, hasReported);
        long end = 10 * SECOND_MICROS + 40_000;
        machine.onWatchLost(end);
        assertTrue(machine.nextCallBy() <= end + WatchTimings.ENDED_JITTER_MICROS,
                "called " + (machine.nextCallBy() - end) + " us after the end");
        long firstCallAt = machine.nextCallBy();
        machine.onCallStarted(firstCallAt);
        machine.onRequestSent(firstCallAt);
        machine.onWatchLost(firstCallAt + SECOND_MICROS);
        long answeredAt = machine.nextCallBy() + 1_200_000;
        assertTrue(answeredAt <= end + WatchTimings.ENDED_STALENESS_BOUND_MICROS + 2 * SECOND_MICROS,
                "answered " + (answeredAt - end) + " us after the end");
    }

    /** A discovery that ends each watch as it opens is called no more often than one that refuses calls. */
    @Property(tries = 200, seed = "12")
    void discoveryThatEndsEachWatchIsCalledAtRetryPeriod(@ForAll boolean hasReported, @ForAll long seed) {
        WatchStateMachine machine = openedWatch(seed, hasReported);
        long now = 10 * SECOND_MICROS + 40_000;
        int calls = 0;
        for (; now < 70 * SECOND_MICROS; calls++) {
            machine.onWatchLost(now);
            now = machine.nextCallBy();
            machine.onCallStarted(now);
            machine.onRequestSent(now);
            machine.onStreamOpened(now);
            if (hasReported) {
                machine.onEventReceived(now);
            }
            now += 40_000;
        }
        assertTrue(calls <= 4 + 60 * SECOND_MICROS / (0.75 * WatchTimings.RETRY_PERIOD_MICROS),
                calls + " calls in a minute");
    }

    /** Guards against events in a state that does not allow them, which are a fault of the caller. */
    @Example
    void rejectsEventsInWrongState() {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND_MICROS, 2 * SECOND_MICROS), 1);
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
                "an event of the abandoned call");
    }

    /** A gatherer that is late itself reads the data that has arrived meanwhile, but not a slow trickle of data. */
    @Example
    void readsUnreadDataAfterDeadlineForBoundedTime() {
        var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND_MICROS, 2 * SECOND_MICROS), 1);
        machine.onProcessStarted(0);
        machine.onCallStarted(0);
        machine.onRequestSent(0);
        machine.onStreamOpened(0);
        assertEquals(WatchTimings.SILENCE_TIMEOUT_MICROS, machine.remainingMicros(0));
        assertEquals(1_000, machine.remainingMicros(9 * SECOND_MICROS), "first late read");
        assertEquals(1_000, machine.remainingMicros(9 * SECOND_MICROS + 200_000), "further late read");
        assertEquals(0, machine.remainingMicros(9 * SECOND_MICROS + 250_000));
        machine.onEventReceived(9 * SECOND_MICROS + 250_000);
        assertEquals(WatchTimings.SILENCE_TIMEOUT_MICROS, machine.remainingMicros(9 * SECOND_MICROS + 250_000),
                "reset by the next object");
    }

    /** Guards against a thundering herd: gatherers whose watches fall silent together reconnect at spread times. */
    @Example
    void reconnectsAreSpreadAfterCommonSilence() {
        var reconnectDelays = new java.util.TreeSet<Long>();
        for (int seed = 0; seed < 100; seed++) {
            var machine = new WatchStateMachine(new WatchSettings(false, 10 * SECOND_MICROS, 2 * SECOND_MICROS), seed);
            machine.onProcessStarted(0);
            machine.onCallStarted(0);
            machine.onRequestSent(1);
            machine.onStreamOpened(2);
            machine.onEventReceived(4 * SECOND_MICROS);
            assertTrue(!machine.onWatchLost(7 * SECOND_MICROS));
            reconnectDelays.add(machine.nextCallBy() - 7 * SECOND_MICROS);
            machine.onCallStarted(machine.nextCallBy());
            assertTrue(machine.onWatchLost(8 * SECOND_MICROS), "the decision module decides after a second loss");
        }
        assertTrue(reconnectDelays.first() >= 0 && reconnectDelays.last() <= WatchTimings.RECONNECT_JITTER_MICROS);
        for (long from = 0; from < 300_000; from += 50_000) { // each sixth of the time has about a sixth of the calls
            int count = reconnectDelays.subSet(from, from + 50_000).size();
            assertTrue(count >= 6 && count <= 30, from + ": " + count);
        }
    }
}
