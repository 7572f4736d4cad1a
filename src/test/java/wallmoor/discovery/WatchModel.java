package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A discovery, a gatherer that holds its list, driven by the real {@link WatchStateMachine}, the module's backoff, and
 * a check that knows what truly happened and holds the gatherer to the terms. A holder sends to each node that it has
 * not seen drain in every step. Time goes in steps of 10 ms.
 *
 * <p>A change counts as notified by the older terms (a silent watch, the poll interval, a pushed list), and in any case
 * 6 s after discovery had it and could be reached. That is checked by itself: calls that discovery refuses, keeps
 * waiting or loses excuse a gatherer only for the time that they took and for the wait that the machine allows after
 * each.
 */
final class WatchModel {
    static final long STEP = 10_000;
    static final long SECOND = 1_000_000;
    static final long DRAIN_GRACE = 2 * SECOND;
    private static final long USUAL_LATENCY = 300_000;
    static final long BOUND = 6 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;

    private enum ModelState { IDLE, CONNECTING, AWAITING_RESPONSE, WATCHING }

    private static final class Drain {
        final long madeAt;
        long notifiedAt = NEVER;

        Drain(long madeAt) {
            this.madeAt = madeAt;
        }
    }

    /** A call that reached discovery, or was under way when it returned, and told nothing. */
    private record Failure(long at, long took) {}

    final Random random;
    final boolean pushed;
    final long pollWithin;
    /** Whether the machine may poll sooner than the module: else the program is as it was before. */
    boolean machineSchedulesCalls = true;
    long latency = USUAL_LATENCY;
    int calls;
    /** Calls that came as far as discovery. */
    int reached;
    /** Calls from now on that discovery answers with 503, and how long it takes for that. */
    int refusals;
    long refusalTakes = 300_000;
    /** Watches from now on that end in place of telling anything. */
    int endingWatches;
    long now = SECOND;
    long lastKnownAfter;
    private WatchStateMachine machine;
    private ModelState state = ModelState.IDLE;
    private long stateSince;
    private final List<Drain> missedDrains = new ArrayList<>();
    private long downUntil;
    private long cutUntil;
    // the watch as it truly is, and what the check holds against the gatherer
    private boolean silentNow;
    private long silentSince = NEVER;
    private long lostAt;
    private long movedAt = -100 * SECOND;
    private long backAt;
    private long calledAt;
    private boolean callFailed;
    private long excusedUntil;
    private long reachableSince;
    private long nextLine;
    private final List<Failure> failures = new ArrayList<>();
    private long startedAt;
    // the module: RoutingPolicy, section "discovery"
    private boolean wanted;
    private boolean subscribed;
    private long pollAt = NEVER;
    private long pollBackoff = SECOND / 2;

    WatchModel(boolean pushed, long pollWithin, long seed) {
        this.pushed = pushed;
        this.pollWithin = pollWithin;
        random = new Random(seed);
        restart();
    }

    // ---- faults -------------------------------------------------------------------------------------------

    /** A new process on the list it held last; the old one's connections are gone with it. */
    void restart() {
        machine = new WatchStateMachine(new WatchSettings(pushed, pollWithin, DRAIN_GRACE), random.nextLong());
        machine.onProcessStarted(now);
        state = ModelState.IDLE;
        subscribed = false;
        pollBackoff = SECOND / 2;
        pollAt = NEVER;
        silentSince = NEVER;
        silentNow = false;
        calledAt = now;
        startedAt = now;
        callFailed = false;
        lostAt = now;
        // the new process has its own time for what counts as notified to it
        missedDrains.forEach(d -> d.notifiedAt = NEVER);
        poll();
    }

    void drain() {
        missedDrains.add(new Drain(now));
    }

    void silence() {
        if (state == ModelState.WATCHING) {
            silentNow = true;
            silentSince = Math.min(silentSince, now);
            lostAt = silentSince + 3 * SECOND; // nobody can tell sooner
        }
    }

    void reset() {
        if (state == ModelState.WATCHING || state == ModelState.AWAITING_RESPONSE) {
            // a call that was lost in the middle
            excusedUntil = state == ModelState.AWAITING_RESPONSE ? now + 7 * SECOND : excusedUntil;
            failures.add(new Failure(now, state == ModelState.AWAITING_RESPONSE ? now - calledAt : 0));
            leave();
            lost();
        }
    }

    void down(long lasts) {
        downUntil = Math.max(downUntil, now + lasts);
        reset();
    }

    void cut(long lasts) {
        cutUntil = Math.max(cutUntil, now + lasts);
        silence();
    }

    /** One that goes before it missed a line was not silent: it is lost now. */
    private void leave() {
        if (silentNow && now <= nextLine) {
            silentSince = NEVER;
        }
        lostAt = silentSince == NEVER ? now : lostAt;
    }

    /** The next calls are refused: discovery has too many callers. */
    void refuse(int calls, long takes) {
        refusals = calls;
        refusalTakes = takes;
    }

    /** SIGHUP: the whole list is asked for elsewhere, and has the same to tell. */
    void move() {
        // it is left, and may have been about to report
        if (state == ModelState.CONNECTING || state == ModelState.AWAITING_RESPONSE) {
            failures.add(new Failure(now, now - calledAt));
        }
        leave();
        machine.onDiscoveryMoved(now);
        state = ModelState.IDLE;
        silentNow = false;
        movedAt = now;
        lostAt = now;
    }

    // ---- time ---------------------------------------------------------------------------------------------

    void run(long lasts) {
        for (long end = now + lasts; now < end; now += STEP) {
            step();
        }
    }

    private boolean reachable() {
        return now >= downUntil && now >= cutUntil;
    }

    private void step() {
        if (!reachable()) {
            reachableSince = NEVER;
        } else if (reachableSince == NEVER) {
            reachableSince = now;
            backAt = now;
        }
        if (pollAt <= now) {
            pollAt = NEVER;
            if (!subscribed) {
                poll();
            }
        }
        call();
        if (state != ModelState.IDLE && now >= machine.deadline()) {
            if (state == ModelState.AWAITING_RESPONSE) {
                failAtDiscovery();
            } else {
                lost();
            }
        }
        check();
    }

    /** The call goes on, as far as it can in this step. */
    private void call() {
        if (state == ModelState.IDLE && (wanted || (machineSchedulesCalls && machine.nextCallBy() <= now))) {
            calls++;
            calledAt = now;
            callFailed = false;
            machine.onCallStarted(now);
            enter(ModelState.CONNECTING);
        } else if (state == ModelState.CONNECTING && now >= cutUntil && now - stateSince >= 2 * STEP) {
            if (now < downUntil) {
                lost();
            } else {
                reached++;
                machine.onRequestSent(now);
                enter(ModelState.AWAITING_RESPONSE);
            }
        } else if (state == ModelState.AWAITING_RESPONSE && refusals > 0 && now >= cutUntil
                && now - stateSince >= refusalTakes) {
            refusals--;
            failAtDiscovery();
        } else if (state == ModelState.AWAITING_RESPONSE && refusals == 0 && now >= cutUntil
                && now - stateSince >= latency) {
            machine.onStreamOpened(now);
            if (endingWatches > 0) {
                endingWatches--;
                failAtDiscovery();
            } else {
                enter(ModelState.WATCHING);
                silentNow = false;
                line();
            }
        } else if (state == ModelState.WATCHING && !silentNow && now >= cutUntil
                && (!missedDrains.isEmpty() || now >= nextLine)) {
            line();
        }
    }

    /** The call has failed at discovery, through no fault of the gatherer's. */
    private void failAtDiscovery() {
        failures.add(new Failure(now, now - calledAt));
        excusedUntil = Math.max(excusedUntil, now + 7 * SECOND); // as for a call that was lost in the middle
        lost();
    }

    private void enter(ModelState to) {
        state = to;
        stateSince = now;
    }

    private void line() {
        missedDrains.clear();
        nextLine = now + 2 * SECOND;
        silentSince = NEVER;
        machine.onEventReceived(now);
        subscribed = true;
        pollBackoff = SECOND / 2;
    }

    private void lost() {
        callFailed = state != ModelState.WATCHING;
        wanted = false;
        silentNow = false;
        if (machine.onWatchLost(now) || !machineSchedulesCalls) {
            subscribed = false;
            schedulePoll();
        }
        enter(ModelState.IDLE);
    }

    private void poll() {
        wanted = true;
        schedulePoll();
    }

    private void schedulePoll() {
        if (pollAt == NEVER) {
            pollAt = now + (long) (pollBackoff * (0.5 + random.nextDouble()));
            pollBackoff = Math.min(4 * SECOND, 2 * pollBackoff);
        }
    }

    // ---- the terms ----------------------------------------------------------------------------------------

    private void check() {
        for (Drain d : missedDrains) {
            if (d.notifiedAt == NEVER && isNotified(d)) {
                d.notifiedAt = now;
                assertTrue(state != ModelState.IDLE || machine.notifiedAt(d.madeAt) <= now,
                        "the machine knows of no later term");
            }
            if (d.notifiedAt != NEVER && now > d.notifiedAt + DRAIN_GRACE && !isExcused(d)) {
                throw new AssertionError("at " + now + " sent to what drained at " + d.madeAt + ", told " + d.notifiedAt
                        + ", lost " + lostAt + ", reachable since " + reachableSince + ", " + state);
            }
            if (reachable() && now > hadAt(d) + BOUND + DRAIN_GRACE && !isExcusedOfBound(d)) {
                throw new AssertionError("at " + now + " sent to what drained at " + d.madeAt + ", reachable since "
                        + reachableSince + ", lost " + lostAt + ", called " + calledAt + ", " + state + ", "
                        + failures);
            }
            lastKnownAfter = Math.max(lastKnownAfter, d.notifiedAt == NEVER ? 0 : now - d.notifiedAt);
        }
    }

    private boolean isNotified(Drain d) {
        if (silentSince != NEVER) {
            return now >= silentSince + 6 * SECOND && (!pushed || now >= movedAt + 4 * SECOND);
        }
        if (pushed) {
            return reachable() && now >= movedAt + 4 * SECOND;
        }
        return pollWithin > 0 && state != ModelState.WATCHING && now >= d.madeAt + pollWithin
                && now >= Math.max(calledAt, backAt) + (callFailed ? 4 : 1) * pollWithin;
    }

    /** Since when discovery has had it and could be reached without a break. */
    private long hadAt(Drain d) {
        return Math.max(Math.max(d.madeAt, reachableSince), startedAt);
    }

    /**
     * Whether calls that failed since took so long that no gatherer could know in time. The first call comes within a
     * period of the machine's, or of a silence that is still to be found out; each that fails costs its time and the
     * rest of a period; the last is answered at discovery's pace.
     */
    private boolean isExcusedOfBound(Drain d) {
        long from = hadAt(d);
        long needs = Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                WatchTimings.SILENCE_TIMEOUT_MICROS + WatchTimings.RECONNECT_JITTER_MICROS) + 4 * STEP;
        for (Failure f : failures) {
            if (f.at >= from) {
                needs += Math.max(WatchTimings.RETRY_PERIOD_MICROS, f.took + SECOND / 4) + 4 * STEP;
            }
        }
        if (state == ModelState.AWAITING_RESPONSE && refusals > 0) { // the call that is out will fail, too
            needs += Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                    Math.min(refusalTakes, WatchTimings.RESPONSE_TIMEOUT_MICROS) + SECOND / 4) + 4 * STEP;
        }
        return needs + latency + 4 * STEP > BOUND + DRAIN_GRACE;
    }

    /** Whether discovery could not be reached for long enough before the grace was over. */
    private boolean isExcused(Drain d) {
        long stretch = d.notifiedAt + DRAIN_GRACE - Math.max(lostAt, reachableSince == NEVER ? now : reachableSince);
        long needs = silentSince != NEVER ? 5 * SECOND / 2
                : pushed ? DRAIN_GRACE : Math.min(6 * SECOND, 2 * pollWithin) + 6 * SECOND / 10;
        long slow = Math.max(latency, refusals > 0 ? refusalTakes : 0) - USUAL_LATENCY;
        return now < excusedUntil || stretch < needs + Math.max(0, slow);
    }
}
