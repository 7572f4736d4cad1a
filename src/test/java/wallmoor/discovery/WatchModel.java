package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A simulation of discovery and of a gatherer that watches its endpoint list with the real {@link WatchStateMachine}
 * and a model of the decision module's backoff. The gatherer uses each worker until it receives the worker's drain. The
 * simulation fails if it still does so when the drain counts as notified and its grace is over. Time advances in steps
 * of 10 ms.
 *
 * <p>Two rules say when a change counts as notified, and each is checked on its own. The first depends on the watch: it
 * fell silent, the poll interval passed, or the list is pushed. The second is 6 s after discovery had the change and
 * was reachable; calls that discovery refuses, delays or loses extend that only by their own duration and by the wait
 * that the machine may make after each.
 */
final class WatchModel {
    static final long STEP_MICROS = 10_000;
    static final long SECOND_MICROS = 1_000_000;
    static final long DRAIN_GRACE_MICROS = 2 * SECOND_MICROS;
    private static final long DEFAULT_LATENCY_MICROS = 300_000;
    static final long STALENESS_BOUND_MICROS = 6 * SECOND_MICROS;
    private static final long NEVER = Long.MAX_VALUE;

    private enum CallState { IDLE, CONNECTING, AWAITING_RESPONSE, WATCHING }

    private static final class Drain {
        final long madeAt;
        long notifiedAt = NEVER;

        Drain(long madeAt) {
            this.madeAt = madeAt;
        }
    }

    /** A call that reached discovery, or was in progress when discovery moved, and delivered nothing. */
    private record FailedCall(long endedAt, long durationMicros) {}

    final Random random;
    final boolean pushed;
    final long pollIntervalMicros;
    /** Whether the state machine may call sooner than the decision module; if not, only the module calls. */
    boolean machineSchedulesCalls = true;
    long latencyMicros = DEFAULT_LATENCY_MICROS;
    int calls;
    /** How many calls reached discovery. */
    int callsReachingDiscovery;
    /** How many of the next calls discovery answers with 503. */
    int remainingRefusals;
    /** How long discovery takes to refuse a call. */
    long refusalMicros = 300_000;
    /** How many of the next watches end before they report anything. */
    int remainingEarlyEnds;
    long now = SECOND_MICROS;
    /** The longest time for which a drain was still not received after it counted as notified. */
    long maxDelayAfterNotified;
    private WatchStateMachine machine;
    private CallState state = CallState.IDLE;
    private long stateSince;
    private final List<Drain> missedDrains = new ArrayList<>();
    private long downUntil;
    private long partitionedUntil;
    // the true state of the watch, and the state of the check
    private boolean isSilent;
    private long silentSince = NEVER;
    private long lostAt;
    private long movedAt = -100 * SECOND_MICROS;
    private long reachableAgainAt;
    private long calledAt;
    private boolean hasCallFailed;
    private long excusedUntil;
    private long reachableSince;
    private long nextHeartbeatAt;
    private final List<FailedCall> failedCalls = new ArrayList<>();
    private long startedAt;
    // the decision module's backoff, as in RoutingPolicy, section "discovery"
    private boolean isCallRequested;
    private boolean isSubscribed;
    private long nextPollAt = NEVER;
    private long pollBackoffMicros = SECOND_MICROS / 2;

    WatchModel(boolean pushed, long pollIntervalMicros, long seed) {
        this.pushed = pushed;
        this.pollIntervalMicros = pollIntervalMicros;
        random = new Random(seed);
        restart();
    }

    // ---- faults -------------------------------------------------------------------------------------------

    /** Restarts the gatherer with the last list of the old process, whose connections are closed. */
    void restart() {
        machine = new WatchStateMachine(new WatchSettings(pushed, pollIntervalMicros, DRAIN_GRACE_MICROS),
                random.nextLong());
        machine.onProcessStarted(now);
        state = CallState.IDLE;
        isSubscribed = false;
        pollBackoffMicros = SECOND_MICROS / 2;
        nextPollAt = NEVER;
        silentSince = NEVER;
        isSilent = false;
        calledAt = now;
        startedAt = now;
        hasCallFailed = false;
        lostAt = now;
        // no drain counts as notified to the new process yet
        missedDrains.forEach(drain -> drain.notifiedAt = NEVER);
        requestCall();
    }

    /** Has a worker drain. */
    void drain() {
        missedDrains.add(new Drain(now));
    }

    /** Has the watch fall silent without being closed. */
    void fallSilent() {
        if (state == CallState.WATCHING) {
            isSilent = true;
            silentSince = Math.min(silentSince, now);
            lostAt = silentSince + 3 * SECOND_MICROS; // the silence can't be detected sooner
        }
    }

    /** Resets the connection to discovery. */
    void reset() {
        if (state == CallState.WATCHING || state == CallState.AWAITING_RESPONSE) {
            // a call that was lost while its response was awaited
            excusedUntil = state == CallState.AWAITING_RESPONSE ? now + 7 * SECOND_MICROS : excusedUntil;
            failedCalls.add(new FailedCall(now, state == CallState.AWAITING_RESPONSE ? now - calledAt : 0));
            recordWatchEnd();
            onCallLost();
        }
    }

    /** Takes discovery down, so that connections are refused. */
    void takeDown(long micros) {
        downUntil = Math.max(downUntil, now + micros);
        reset();
    }

    /** Drops all packets between the gatherer and discovery. */
    void partition(long micros) {
        partitionedUntil = Math.max(partitionedUntil, now + micros);
        fallSilent();
    }

    /** Records the end of a watch. A watch that ends before it missed a heartbeat was not silent, and is lost now. */
    private void recordWatchEnd() {
        if (isSilent && now <= nextHeartbeatAt) {
            silentSince = NEVER;
        }
        lostAt = silentSince == NEVER ? now : lostAt;
    }

    /** Has discovery refuse the next calls, as if it had too many callers. */
    void refuse(int refusedCalls, long micros) {
        remainingRefusals = refusedCalls;
        refusalMicros = micros;
    }

    /** Reloads a configuration that names another discovery, whose full list has the same endpoints. */
    void moveDiscovery() {
        // the abandoned call may have been about to report
        if (state == CallState.CONNECTING || state == CallState.AWAITING_RESPONSE) {
            failedCalls.add(new FailedCall(now, now - calledAt));
        }
        recordWatchEnd();
        machine.onDiscoveryMoved(now);
        state = CallState.IDLE;
        isSilent = false;
        movedAt = now;
        lostAt = now;
    }

    // ---- time ---------------------------------------------------------------------------------------------

    /** Runs the simulation for this time. */
    void run(long micros) {
        for (long end = now + micros; now < end; now += STEP_MICROS) {
            step();
        }
    }

    private boolean isReachable() {
        return now >= downUntil && now >= partitionedUntil;
    }

    private void step() {
        if (!isReachable()) {
            reachableSince = NEVER;
        } else if (reachableSince == NEVER) {
            reachableSince = now;
            reachableAgainAt = now;
        }
        if (nextPollAt <= now) {
            nextPollAt = NEVER;
            if (!isSubscribed) {
                requestCall();
            }
        }
        advanceCall();
        if (state != CallState.IDLE && now >= machine.deadline()) {
            if (state == CallState.AWAITING_RESPONSE) {
                failAtDiscovery();
            } else {
                onCallLost();
            }
        }
        checkRules();
    }

    /** Advances the call as far as possible in this step. */
    private void advanceCall() {
        if (state == CallState.IDLE && (isCallRequested || (machineSchedulesCalls && machine.nextCallBy() <= now))) {
            calls++;
            calledAt = now;
            hasCallFailed = false;
            machine.onCallStarted(now);
            enter(CallState.CONNECTING);
        } else if (state == CallState.CONNECTING && now >= partitionedUntil && now - stateSince >= 2 * STEP_MICROS) {
            if (now < downUntil) {
                onCallLost();
            } else {
                callsReachingDiscovery++;
                machine.onRequestSent(now);
                enter(CallState.AWAITING_RESPONSE);
            }
        } else if (state == CallState.AWAITING_RESPONSE && remainingRefusals > 0 && now >= partitionedUntil
                && now - stateSince >= refusalMicros) {
            remainingRefusals--;
            failAtDiscovery();
        } else if (state == CallState.AWAITING_RESPONSE && remainingRefusals == 0 && now >= partitionedUntil
                && now - stateSince >= latencyMicros) {
            machine.onStreamOpened(now);
            if (remainingEarlyEnds > 0) {
                remainingEarlyEnds--;
                failAtDiscovery();
            } else {
                enter(CallState.WATCHING);
                isSilent = false;
                deliver();
            }
        } else if (state == CallState.WATCHING && !isSilent && now >= partitionedUntil
                && (!missedDrains.isEmpty() || now >= nextHeartbeatAt)) {
            deliver();
        }
    }

    /** Ends a call that failed at discovery, which is no fault of the gatherer. */
    private void failAtDiscovery() {
        failedCalls.add(new FailedCall(now, now - calledAt));
        // as for a call that was lost while its response was awaited
        excusedUntil = Math.max(excusedUntil, now + 7 * SECOND_MICROS);
        onCallLost();
    }

    private void enter(CallState next) {
        state = next;
        stateSince = now;
    }

    /** Delivers all missed drains, or a heartbeat. */
    private void deliver() {
        missedDrains.clear();
        nextHeartbeatAt = now + 2 * SECOND_MICROS;
        silentSince = NEVER;
        machine.onEventReceived(now);
        isSubscribed = true;
        pollBackoffMicros = SECOND_MICROS / 2;
    }

    private void onCallLost() {
        hasCallFailed = state != CallState.WATCHING;
        isCallRequested = false;
        isSilent = false;
        if (machine.onWatchLost(now) || !machineSchedulesCalls) {
            isSubscribed = false;
            schedulePoll();
        }
        enter(CallState.IDLE);
    }

    private void requestCall() {
        isCallRequested = true;
        schedulePoll();
    }

    private void schedulePoll() {
        if (nextPollAt == NEVER) {
            nextPollAt = now + (long) (pollBackoffMicros * (0.5 + random.nextDouble()));
            pollBackoffMicros = Math.min(4 * SECOND_MICROS, 2 * pollBackoffMicros);
        }
    }

    // ---- the rules ----------------------------------------------------------------------------------------

    private void checkRules() {
        for (Drain drain : missedDrains) {
            if (drain.notifiedAt == NEVER && isNotified(drain)) {
                drain.notifiedAt = now;
                assertTrue(state != CallState.IDLE || machine.notifiedAt(drain.madeAt) <= now,
                        "the machine's notification time is not later than the check's");
            }
            if (drain.notifiedAt != NEVER && now > drain.notifiedAt + DRAIN_GRACE_MICROS && !isExcused(drain)) {
                throw new AssertionError("at " + now + " sent to a worker that drained at " + drain.madeAt
                        + ", notified " + drain.notifiedAt + ", watch lost " + lostAt + ", reachable since "
                        + reachableSince + ", " + state);
            }
            if (isReachable() && now > availableSince(drain) + STALENESS_BOUND_MICROS + DRAIN_GRACE_MICROS
                    && !isExcusedFromBound(drain)) {
                throw new AssertionError("at " + now + " sent to a worker that drained at " + drain.madeAt
                        + ", reachable since " + reachableSince + ", watch lost " + lostAt + ", called "
                        + calledAt + ", " + state + ", " + failedCalls);
            }
            maxDelayAfterNotified = Math.max(maxDelayAfterNotified,
                    drain.notifiedAt == NEVER ? 0 : now - drain.notifiedAt);
        }
    }

    private boolean isNotified(Drain drain) {
        if (silentSince != NEVER) {
            return now >= silentSince + 6 * SECOND_MICROS && (!pushed || now >= movedAt + 4 * SECOND_MICROS);
        }
        if (pushed) {
            return isReachable() && now >= movedAt + 4 * SECOND_MICROS;
        }
        return pollIntervalMicros > 0 && state != CallState.WATCHING && now >= drain.madeAt + pollIntervalMicros
                && now >= Math.max(calledAt, reachableAgainAt) + (hasCallFailed ? 4 : 1) * pollIntervalMicros;
    }

    /** Returns since when discovery has had the drain and was reachable without interruption. */
    private long availableSince(Drain drain) {
        return Math.max(Math.max(drain.madeAt, reachableSince), startedAt);
    }

    /**
     * Returns whether calls that failed since then took so long that no gatherer could receive the drain in time. The
     * first call comes within the machine's retry period, or after a silence that must be detected first. Each failed
     * call takes its duration and the rest of a retry period. The last call takes discovery's latency.
     */
    private boolean isExcusedFromBound(Drain drain) {
        long from = availableSince(drain);
        long neededMicros = Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                WatchTimings.SILENCE_TIMEOUT_MICROS + WatchTimings.RECONNECT_JITTER_MICROS) + 4 * STEP_MICROS;
        for (FailedCall failed : failedCalls) {
            if (failed.endedAt >= from) {
                neededMicros += Math.max(WatchTimings.RETRY_PERIOD_MICROS, failed.durationMicros + SECOND_MICROS / 4)
                        + 4 * STEP_MICROS;
            }
        }
        if (state == CallState.AWAITING_RESPONSE && remainingRefusals > 0) { // the call in progress will fail, too
            neededMicros += Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                    Math.min(refusalMicros, WatchTimings.RESPONSE_TIMEOUT_MICROS) + SECOND_MICROS / 4)
                    + 4 * STEP_MICROS;
        }
        return neededMicros + latencyMicros + 4 * STEP_MICROS > STALENESS_BOUND_MICROS + DRAIN_GRACE_MICROS;
    }

    /** Returns whether discovery was not reachable for long enough before the grace was over. */
    private boolean isExcused(Drain drain) {
        long availableMicros = drain.notifiedAt + DRAIN_GRACE_MICROS
                - Math.max(lostAt, reachableSince == NEVER ? now : reachableSince);
        long neededMicros = silentSince != NEVER ? 5 * SECOND_MICROS / 2
                : pushed ? DRAIN_GRACE_MICROS
                        : Math.min(6 * SECOND_MICROS, 2 * pollIntervalMicros) + 6 * SECOND_MICROS / 10;
        long extraLatencyMicros = Math.max(latencyMicros, remainingRefusals > 0 ? refusalMicros : 0)
                - DEFAULT_LATENCY_MICROS;
        return now < excusedUntil || availableMicros < neededMicros + Math.max(0, extraLatencyMicros);
    }
}
