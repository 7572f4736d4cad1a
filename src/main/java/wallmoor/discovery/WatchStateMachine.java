package wallmoor.discovery;

import java.util.Random;

/**
 * The state machine of a watch, and the list's one clock: by when discovery must have said its next word, when it is to
 * be asked again at the latest, and since when and until when the list held may be behind. It decides only; who drives
 * it tells it each event with its time. All times are microseconds on one clock that never goes back. Not safe for
 * threads. docs/list-clock.md has the table of states and events.
 *
 * <p>How long to wait after failures is the decision module's to say. This clock calls sooner in six cases only: once,
 * within {@link #RECONNECT_JITTER_MICROS}, after a sound watch fell silent, or was reset where what it misses counts
 * soon; at once after
 * a move; where a watch fell silent and its term runs; where a watch ended, until what it missed counts; where the
 * settings let what is missed count sooner than the module would have called; and at the latest
 * {@link #RETRY_PERIOD_MICROS}
 * after the call before, whatever became of it.
 *
 * <p>What no gatherer can know, this one neither: a change made while discovery can't be reached from here, if it
 * counts as told and its grace is over before discovery could be reached for long enough to be asked: where lists are
 * pushed {@link #PUSHED_RETRY_SHARE} of the grace and a call, else {@link #RETRY_PERIOD_MICROS} and a call, and a call
 * may take
 * {@link #CONNECT_TIMEOUT_MICROS} and {@link #RESPONSE_TIMEOUT_MICROS}. Where lists are asked for, what comes counts
 * only when it is written, or {@link
 * #STALENESS_BOUND_MICROS} after discovery had it and could be reached.
 */
final class WatchStateMachine {
    /** Where the list's call stands. Only in {@link #SYNCED} the list is vouched for. */
    enum WatchState {
        /** No call is out: the next one is due by {@link #nextCallBy}, or sooner where the module wants it. */
        IDLE,
        /** A connection is being opened. */
        CONNECTING,
        /** A request is out, for the whole list or for a watch; its answer must come. */
        REQUESTED,
        /** A watch's head is in; its first object or heartbeat must come. */
        OPENED,
        /** A watch that has spoken; its next object or heartbeat must come. */
        SYNCED
    }

    /** No time: what is asked for is not in sight. */
    static final long NEVER = Long.MAX_VALUE;
    /** A connection that is not up by then is to a machine cut off; the kernel sends its second SYN only then. */
    static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    /** Discovery handles calls one after another; one that waits longer has failed there too. */
    static final long RESPONSE_TIMEOUT_MICROS = 2_500_000;
    /** An empty line comes every 2 s; half as long again bears a gatherer that is itself late by a second. */
    static final long SILENCE_TIMEOUT_MICROS = 3_000_000;
    /** The first call after a loss comes within this time; all gatherers may have lost theirs at once. */
    static final long RECONNECT_JITTER_MICROS = 300_000;
    /** What is missed counts as told so long after the watch fell silent: {@link #SILENCE_TIMEOUT_MICROS},
     * {@link #RECONNECT_JITTER_MICROS} and
     * {@link #RESPONSE_TIMEOUT_MICROS} stay below it, so that one slow call is borne. */
    static final long STALENESS_BOUND_MICROS = 6_000_000;
    /** Where lists are pushed, what is told after a move counts so much later. */
    static final long MOVED_STALENESS_BOUND_MICROS = 4_000_000;
    /** A sound watch says something this often. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /** Where a change counts later than this after it was made, a reset watch can wait as the module says. */
    private static final long SHORT_POLL_MICROS = 2_000_000;
    /** A watch that ended younger is a failure: if it always ended so, it would be asked at once without end. */
    private static final long SETTLED_AGE_MICROS = 2_000_000;
    /** Longest waits in the term of a silent watch, first and later: as long as the module's own after a first loss. */
    private static final long SILENT_FIRST_RETRY_MICROS = 1_000_000;
    static final long SILENT_RETRY_MICROS = 2_000_000;
    /** From the begin of a call that failed to the next one's at most. A change counts as told
     * {@link #STALENESS_BOUND_MICROS} after
     * discovery had it and could be reached, whatever call failed before. With 2 s of grace that leaves time for a call
     * that is given up after {@link #RESPONSE_TIMEOUT_MICROS} and one answered at its last moment, or for two prompt
     * refusals. */
    static final long RETRY_PERIOD_MICROS = 2_500_000;
    /**
     * A watch that ended, rather than fell silent, is a call whose wait is over: what it did not tell counts so much
     * later.
     */
    static final long ENDED_STALENESS_BOUND_MICROS = 2_000_000;
    /** The first call after its end comes within this time, and the next ones so long after the call before: a
     * refused call and a slow one fit into {@link #ENDED_STALENESS_BOUND_MICROS} and 2 s of grace. */
    static final long ENDED_JITTER_MICROS = 600_000;
    static final long ENDED_RETRY_MICROS = 1_000_000;
    /**
     * Watches that ended young one after another: from then on discovery is spared, as it may end all that are opened.
     */
    private static final int MAX_EARLY_ENDS = 3;
    /** What lies unread already is taken for so long after its time, however much it is; what trickles is not. */
    private static final long LATE_READS_MICROS = 250_000;
    private static final long LATE_READ_MICROS = 1_000;
    /** Where lists are pushed, what comes at discovery's return counts at once: from call to call at most this share of
     * the drain grace, which leaves 0.6 s of 2 for the call; within bounds, as discovery is shared. */
    private static final double PUSHED_RETRY_SHARE = 0.7;
    private static final long MIN_PUSHED_RETRY_MICROS = 500_000;
    private static final long MAX_PUSHED_RETRY_MICROS = 4_000_000;
    /** Shortest wait after a call that itself took long. */
    private static final long MIN_RETRY_MICROS = 250_000;
    /** A call that failed holds the gatherer to its list for so many times as long. */
    private static final int FAILED_POLL_FACTOR = 4;
    /** Seeds that follow on each other would begin with all but the same numbers. */
    private static final long MIX = 0x9e3779b97f4a7c15L;

    private boolean pushed;
    private long askWithin;
    private long grace;
    private long pushedGap;
    private final Random random;
    private long calledAt;
    private boolean failed;
    private boolean reached;
    private long openedAt = NEVER;
    private long heardAt;
    private WatchState state = WatchState.IDLE;
    private long deadline = NEVER;
    private long overdueSince = NEVER;
    private long nextCallBy = NEVER;
    private long staleSince = NEVER;
    private boolean silent;
    private long endedAt = NEVER;
    private int youngEnds;
    private long movedAt = NEVER;
    private int gaps;

    /**
     * Makes the clock of a list.
     *
     * @param pushed    the list counts as told when it changes, whether or not a watch is open
     * @param askWithin the settings' figure: how long a gatherer without a watch is held to the list it has; 0 for none
     * @param grace     how long after its drain counts as told a node may still get something new
     * @param seed      of the spread
     */
    WatchStateMachine(boolean pushed, long askWithin, long grace, long seed) {
        updateSettings(pushed, askWithin, grace);
        random = new Random(seed * MIX);
    }

    /** Other settings hold from now on; what is waited for already stays. */
    void updateSettings(boolean pushed, long askWithin, long grace) {
        this.pushed = pushed;
        this.askWithin = askWithin;
        this.grace = grace;
        pushedGap = Math.max(MIN_PUSHED_RETRY_MICROS,
                Math.min(MAX_PUSHED_RETRY_MICROS, (long) (PUSHED_RETRY_SHARE * grace)));
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** The process starts, with a list that may be old. The module asks at once. */
    void onProcessStarted(long at) {
        in(WatchState.IDLE);
        staleSince = at;
        calledAt = at;
    }

    /** Discovery is elsewhere from now on: it is to be asked at once, whatever was waited for. */
    void onDiscoveryMoved(long at) {
        movedAt = at;
        leave(at);
        state = WatchState.IDLE;
        endedAt = NEVER;
        await(at); // what the call that is out still reads must not hold up the next one
        gaps = 0;
        nextCallBy = at;
    }

    /** A call begins. */
    void onCallStarted(long at) {
        in(WatchState.IDLE);
        state = WatchState.CONNECTING;
        calledAt = at;
        reached = false;
        openedAt = NEVER;
        await(at + CONNECT_TIMEOUT_MICROS);
        nextCallBy = NEVER;
    }

    /** A request goes out on a connection that is up. */
    void onRequestSent(long at) {
        in(WatchState.CONNECTING, WatchState.REQUESTED);
        state = WatchState.REQUESTED;
        reached = true;
        await(at + RESPONSE_TIMEOUT_MICROS);
    }

    /** The head of a watch's answer is in: its first object or heartbeat must follow. */
    void onStreamOpened(long at) {
        in(WatchState.REQUESTED);
        state = WatchState.OPENED;
        openedAt = at;
        heardAt = at;
        await(at + SILENCE_TIMEOUT_MICROS);
    }

    /** An object or a heartbeat of the watch is in and taken: the list is vouched for. */
    void onEventReceived(long at) {
        in(WatchState.OPENED, WatchState.SYNCED);
        state = WatchState.SYNCED;
        heardAt = at;
        await(at + SILENCE_TIMEOUT_MICROS);
        staleSince = NEVER;
        silent = false;
        movedAt = NEVER;
        gaps = 0;
    }

    /**
     * The call failed, or the watch fell silent or ended. Whether the module is to be told, and to say when to call
     * again; else a sound watch was lost whose misses count soon, and {@link #nextCallBy} says when.
     */
    boolean onWatchLost(long at) {
        boolean wasSound = state == WatchState.SYNCED;
        boolean wasOpen = wasSound || state == WatchState.OPENED;
        state = WatchState.IDLE;
        leave(at);
        if (wasOpen) {
            ended(at);
        }
        boolean hurries = silent || pushed || askWithin > 0 && askWithin < SHORT_POLL_MICROS;
        boolean atOnce = wasSound && hurries && at - openedAt >= SETTLED_AGE_MICROS;
        failed = !wasSound;
        await(NEVER);
        gaps = atOnce ? 0 : gaps + 1;
        nextCallBy = atOnce ? at + spread(0, RECONNECT_JITTER_MICROS) : again(at);
        return !atOnce;
    }

    private void ended(long at) {
        boolean young = at - openedAt < SETTLED_AGE_MICROS;
        youngEnds = young ? youngEnds + 1 : 0;
        endedAt = silent ? NEVER : at;
    }

    private void in(WatchState... allowed) {
        for (WatchState s : allowed) {
            if (s == state) {
                return;
            }
        }
        throw new IllegalStateException("a watch that is " + state);
    }

    private void await(long until) {
        deadline = until;
        overdueSince = NEVER;
    }

    /** A watch that missed a heartbeat was silent, however it ended then. */
    private void leave(long at) {
        if (staleSince == NEVER) {
            silent = at - heardAt > HEARTBEAT_INTERVAL_MICROS;
            staleSince = silent ? heardAt : at;
        }
    }

    /** When to call again at the latest, should the module wait for longer. */
    private long again(long at) {
        long by = Math.max(at + MIN_RETRY_MICROS, (failed ? calledAt : at) + spread(0.8, RETRY_PERIOD_MICROS));
        // who was not reached is not burdened
        if (silent && (!reached || at < staleSince + STALENESS_BOUND_MICROS + grace)) {
            by = Math.min(by, at + spread(0.75, gaps == 1 ? SILENT_FIRST_RETRY_MICROS : SILENT_RETRY_MICROS));
        }
        if (hurriesAfterEnd(at)) {
            by = Math.min(by, at == endedAt ? at + spread(0, ENDED_JITTER_MICROS)
                    : Math.max(at + MIN_RETRY_MICROS, calledAt + spread(0.75, ENDED_RETRY_MICROS)));
        }
        if (pushed) {
            by = Math.min(by, Math.max(at + MIN_RETRY_MICROS, calledAt + spread(0.65, pushedGap)));
        } else if (askWithin > 0) { // the other half of the time is for the call
            by = Math.min(by, Math.max(at + MIN_RETRY_MICROS, (failed ? calledAt : at) + spread(0.6, holds() / 2)));
        }
        return by;
    }

    /**
     * Whether what an ended watch did not tell may still be told in its term: not by a discovery that can't be reached.
     */
    private boolean hurriesAfterEnd(long at) {
        return endedAt != NEVER && youngEnds <= MAX_EARLY_ENDS && (at == endedAt || reached)
                && at < endedAt + ENDED_STALENESS_BOUND_MICROS + grace;
    }

    /** How long the last call holds the gatherer to the list it has, where lists are asked for. */
    private long holds() {
        return failed ? FAILED_POLL_FACTOR * askWithin : askWithin;
    }

    /** From this share of a time up to all of it: those that failed together don't come again together. */
    private long spread(double least, long most) {
        return (long) (most * (least + (1 - least) * random.nextDouble()));
    }

    // ---- answers ------------------------------------------------------------------------------------------

    WatchState state() {
        return state;
    }

    /** By when the next thing must have come (connection, answer, object); after it the call or watch is broken. */
    long deadline() {
        return deadline;
    }

    /**
     * How long the next read may take; 0 where the call or watch is broken. A gatherer that was late itself blames
     * none: it first takes what has come meanwhile.
     */
    long remainingMicros(long at) {
        if (at < deadline) {
            return deadline - at;
        }
        overdueSince = Math.min(overdueSince, at);
        return Math.max(0, Math.min(LATE_READ_MICROS, overdueSince + LATE_READS_MICROS - at));
    }

    /** When to call at the latest; {@link #NEVER} where that is left to the module. */
    long nextCallBy() {
        return nextCallBy;
    }

    /** Since when the list can't be vouched for; {@link #NEVER} while a watch speaks. */
    long staleSince() {
        return staleSince;
    }

    /** When a change made at this time, and not come, counts as told; where a watch speaks, it would have come. */
    long notifiedAt(long changed) {
        if (pushed && movedAt != NEVER) {
            return Math.max(changed, movedAt + MOVED_STALENESS_BOUND_MICROS);
        }
        if (silent || staleSince != NEVER && !pushed && askWithin <= 0) {
            return Math.max(changed, staleSince + STALENESS_BOUND_MICROS);
        }
        if (staleSince == NEVER || pushed) {
            return changed;
        }
        return Math.min(changed + STALENESS_BOUND_MICROS, Math.max(calledAt + holds(), changed + askWithin));
    }
}
