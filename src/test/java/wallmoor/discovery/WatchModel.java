package wallmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A discovery, a gatherer that holds its list, driven by the real {@link WatchStateMachine}, the module's waits, and a
 * judge
 * who knows what truly happened and holds the gatherer to the terms. A holder sends to each node that it has not seen
 * drain in every step. Time goes in steps of 10 ms.
 *
 * <p>A change counts as told by the older terms (a silent watch, the time for asking, a pushed list), and in any case 6
 * s after discovery had it and could be reached. That is judged by itself: calls that discovery refuses, keeps waiting
 * or loses excuse a gatherer only for the time that they took and for the wait that the clock allows after each.
 */
final class WatchModel {
    static final long STEP = 10_000;
    static final long SECOND = 1_000_000;
    static final long GRACE = 2 * SECOND;
    private static final long USUAL_LATENCY = 300_000;
    static final long TERM = 6 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;

    private enum State { IDLE, CONNECTING, WAITING, WATCHING }

    private static final class Drain {
        final long made;
        long told = NEVER;

        Drain(long made) {
            this.made = made;
        }
    }

    /** A call that reached discovery, or was under way when it returned, and told nothing. */
    private record Failure(long at, long took) {}

    final Random random;
    final boolean pushed;
    final long askWithin;
    /** Whether the clock may ask sooner than the module: else the program is as it was before. */
    boolean clockAsks = true;
    long latency = USUAL_LATENCY;
    int calls;
    /** Calls that came as far as discovery. */
    int reached;
    /** Calls from now on that discovery answers with 503, and how long it takes for that. */
    int refusals;
    long refusalTakes = 300_000;
    /** Watches from now on that end in place of telling anything. */
    int endings;
    long now = SECOND;
    long lastKnownAfter;
    private WatchStateMachine clock;
    private State state = State.IDLE;
    private long stateSince;
    private final List<Drain> unknown = new ArrayList<>();
    private long downUntil;
    private long cutUntil;
    // the watch as it truly is, and what the judge holds against the gatherer
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
    // the module: Brain.ask, askLater and onList
    private boolean wanted;
    private boolean subscribed;
    private long askAt = NEVER;
    private long askWait = SECOND / 2;

    WatchModel(boolean pushed, long askWithin, long seed) {
        this.pushed = pushed;
        this.askWithin = askWithin;
        random = new Random(seed);
        restart();
    }

    // ---- faults -------------------------------------------------------------------------------------------

    /** A new process on the list it held last; the old one's connections are gone with it. */
    void restart() {
        clock = new WatchStateMachine(pushed, askWithin, GRACE, random.nextLong());
        clock.onProcessStarted(now);
        state = State.IDLE;
        subscribed = false;
        askWait = SECOND / 2;
        askAt = NEVER;
        silentSince = NEVER;
        silentNow = false;
        calledAt = now;
        startedAt = now;
        callFailed = false;
        lostAt = now;
        unknown.forEach(d -> d.told = NEVER); // the new process has its own time for what counts as told to it
        ask();
    }

    void drain() {
        unknown.add(new Drain(now));
    }

    void silence() {
        if (state == State.WATCHING) {
            silentNow = true;
            silentSince = Math.min(silentSince, now);
            lostAt = silentSince + 3 * SECOND; // nobody can tell sooner
        }
    }

    void reset() {
        if (state == State.WATCHING || state == State.WAITING) {
            // a call that was lost in the middle
            excusedUntil = state == State.WAITING ? now + 7 * SECOND : excusedUntil;
            failures.add(new Failure(now, state == State.WAITING ? now - calledAt : 0));
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
        if (state == State.CONNECTING || state == State.WAITING) { // it is left, and may have been about to tell
            failures.add(new Failure(now, now - calledAt));
        }
        leave();
        clock.onDiscoveryMoved(now);
        state = State.IDLE;
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
        if (askAt <= now) {
            askAt = NEVER;
            if (!subscribed) {
                ask();
            }
        }
        call();
        if (state != State.IDLE && now >= clock.deadline()) {
            if (state == State.WAITING) {
                unlucky();
            } else {
                lost();
            }
        }
        judge();
    }

    /** The call goes on, as far as it can in this step. */
    private void call() {
        if (state == State.IDLE && (wanted || clockAsks && clock.nextCallBy() <= now)) {
            calls++;
            calledAt = now;
            callFailed = false;
            clock.onCallStarted(now);
            enter(State.CONNECTING);
        } else if (state == State.CONNECTING && now >= cutUntil && now - stateSince >= 2 * STEP) {
            if (now < downUntil) {
                lost();
            } else {
                reached++;
                clock.onRequestSent(now);
                enter(State.WAITING);
            }
        } else if (state == State.WAITING && refusals > 0 && now >= cutUntil && now - stateSince >= refusalTakes) {
            refusals--;
            unlucky();
        } else if (state == State.WAITING && refusals == 0 && now >= cutUntil && now - stateSince >= latency) {
            clock.onStreamOpened(now);
            if (endings > 0) {
                endings--;
                unlucky();
            } else {
                enter(State.WATCHING);
                silentNow = false;
                line();
            }
        } else if (state == State.WATCHING && !silentNow && now >= cutUntil
                && (!unknown.isEmpty() || now >= nextLine)) {
            line();
        }
    }

    /** The call has failed at discovery, through no fault of the gatherer's. */
    private void unlucky() {
        failures.add(new Failure(now, now - calledAt));
        excusedUntil = Math.max(excusedUntil, now + 7 * SECOND); // as for a call that was lost in the middle
        lost();
    }

    private void enter(State to) {
        state = to;
        stateSince = now;
    }

    private void line() {
        unknown.clear();
        nextLine = now + 2 * SECOND;
        silentSince = NEVER;
        clock.onEventReceived(now);
        subscribed = true;
        askWait = SECOND / 2;
    }

    private void lost() {
        callFailed = state != State.WATCHING;
        wanted = false;
        silentNow = false;
        if (clock.onWatchLost(now) || !clockAsks) {
            subscribed = false;
            askLater();
        }
        enter(State.IDLE);
    }

    private void ask() {
        wanted = true;
        askLater();
    }

    private void askLater() {
        if (askAt == NEVER) {
            askAt = now + (long) (askWait * (0.5 + random.nextDouble()));
            askWait = Math.min(4 * SECOND, 2 * askWait);
        }
    }

    // ---- the terms ----------------------------------------------------------------------------------------

    private void judge() {
        for (Drain d : unknown) {
            if (d.told == NEVER && told(d)) {
                d.told = now;
                assertTrue(state != State.IDLE || clock.notifiedAt(d.made) <= now, "the clock knows of no later term");
            }
            if (d.told != NEVER && now > d.told + GRACE && !excused(d)) {
                throw new AssertionError("at " + now + " sent to what drained at " + d.made + ", told " + d.told
                        + ", lost " + lostAt + ", reachable since " + reachableSince + ", " + state);
            }
            if (reachable() && now > hadAt(d) + TERM + GRACE && !excusedOfTerm(d)) {
                throw new AssertionError("at " + now + " sent to what drained at " + d.made + ", reachable since "
                        + reachableSince + ", lost " + lostAt + ", called " + calledAt + ", " + state + ", "
                        + failures);
            }
            lastKnownAfter = Math.max(lastKnownAfter, d.told == NEVER ? 0 : now - d.told);
        }
    }

    private boolean told(Drain d) {
        if (silentSince != NEVER) {
            return now >= silentSince + 6 * SECOND && (!pushed || now >= movedAt + 4 * SECOND);
        }
        if (pushed) {
            return reachable() && now >= movedAt + 4 * SECOND;
        }
        return askWithin > 0 && state != State.WATCHING && now >= d.made + askWithin
                && now >= Math.max(calledAt, backAt) + (callFailed ? 4 : 1) * askWithin;
    }

    /** Since when discovery has had it and could be reached without a break. */
    private long hadAt(Drain d) {
        return Math.max(Math.max(d.made, reachableSince), startedAt);
    }

    /**
     * Whether calls that failed since took so long that no gatherer could know in time. The first call comes
     * within a period of the clock's, or of a silence that is still to be found out; each that fails costs its time and
     * the rest of a period; the last is answered at discovery's pace.
     */
    private boolean excusedOfTerm(Drain d) {
        long from = hadAt(d);
        long needs = Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                WatchTimings.SILENCE_TIMEOUT_MICROS + WatchTimings.RECONNECT_JITTER_MICROS) + 4 * STEP;
        for (Failure f : failures) {
            if (f.at >= from) {
                needs += Math.max(WatchTimings.RETRY_PERIOD_MICROS, f.took + SECOND / 4) + 4 * STEP;
            }
        }
        if (state == State.WAITING && refusals > 0) { // the call that is out will fail, too
            needs += Math.max(WatchTimings.RETRY_PERIOD_MICROS,
                    Math.min(refusalTakes, WatchTimings.RESPONSE_TIMEOUT_MICROS) + SECOND / 4) + 4 * STEP;
        }
        return needs + latency + 4 * STEP > TERM + GRACE;
    }

    /** Whether discovery could not be reached for long enough before the grace was over. */
    private boolean excused(Drain d) {
        long stretch = d.told + GRACE - Math.max(lostAt, reachableSince == NEVER ? now : reachableSince);
        long needs = silentSince != NEVER ? 5 * SECOND / 2
                : pushed ? GRACE : Math.min(6 * SECOND, 2 * askWithin) + 6 * SECOND / 10;
        long slow = Math.max(latency, refusals > 0 ? refusalTakes : 0) - USUAL_LATENCY;
        return now < excusedUntil || stretch < needs + Math.max(0, slow);
    }
}
