package wallmoor.discovery;

/**
 * The state machine of the watch on the endpoint list: by when discovery must have sent its next message, when it is to
 * be called again at the latest, and since when the list held may be stale. It decides only; who drives it reports each
 * event with its time. All times are microseconds on one clock that never goes back. Not safe for threads.
 * docs/list-clock.md has the table of states and events.
 *
 * <p>How long to back off after failures is the decision module's to say. This machine calls sooner in six cases only:
 * once, within {@link WatchTimings#RECONNECT_JITTER_MICROS}, after a synced watch fell silent, or was reset where what
 * it misses counts soon; at once after a move; where a watch fell silent and its staleness bound runs; where a watch
 * ended, until what it missed counts; where the settings let what is missed count sooner than the module would have
 * called; and at the latest {@link WatchTimings#RETRY_PERIOD_MICROS} after the call before, whatever became of it.
 *
 * <p>What no gatherer can know, this one neither: a change made while discovery can't be reached from here, if it
 * counts as notified and its grace is over before discovery could be reached for long enough to be polled: where lists
 * are pushed {@link WatchTimings#PUSHED_RETRY_SHARE} of the grace and a call, else {@link
 * WatchTimings#RETRY_PERIOD_MICROS} and a call, and a call may take {@link WatchTimings#CONNECT_TIMEOUT_MICROS} and
 * {@link WatchTimings#RESPONSE_TIMEOUT_MICROS}. Where lists are polled, what comes counts only when it is written, or
 * {@link WatchTimings#STALENESS_BOUND_MICROS} after discovery had it and could be reached.
 */
final class WatchStateMachine {
    private final LastCall call = new LastCall();
    private final ReadDeadline deadline = new ReadDeadline();
    private final Staleness staleness = new Staleness();
    private final RetrySchedule retries;
    private WatchSettings settings;
    private WatchState state = WatchState.IDLE;
    private long nextCallBy = WatchTimings.NEVER;

    /**
     * Makes the machine of a process that was not started yet.
     *
     * @param seed of the jitter
     */
    WatchStateMachine(WatchSettings settings, long seed) {
        this.settings = settings;
        retries = new RetrySchedule(seed);
    }

    /** Other settings hold from now on; what is waited for already stays. */
    void updateSettings(WatchSettings changed) {
        settings = changed;
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** The process starts, with a list that may be old. The module polls at once. */
    void onProcessStarted(long at) {
        require(WatchState.IDLE);
        staleness.onProcessStarted(at);
        call.startedAt = at;
    }

    /** Discovery is elsewhere from now on: it is to be called at once, whatever was waited for. */
    void onDiscoveryMoved(long at) {
        staleness.onDiscoveryMoved(at);
        staleness.onLeft(at, call.lastEventAt);
        state = WatchState.IDLE;
        retries.onDiscoveryMoved();
        deadline.set(at); // what the call that is out still reads must not hold up the next one
        nextCallBy = at;
    }

    /** A call begins. */
    void onCallStarted(long at) {
        require(WatchState.IDLE);
        state = WatchState.CONNECTING;
        call.start(at);
        deadline.set(at + WatchTimings.CONNECT_TIMEOUT_MICROS);
        nextCallBy = WatchTimings.NEVER;
    }

    /** A request goes out on a connection that is up. */
    void onRequestSent(long at) {
        require(WatchState.CONNECTING, WatchState.REQUESTED);
        state = WatchState.REQUESTED;
        call.reachedDiscovery = true;
        deadline.set(at + WatchTimings.RESPONSE_TIMEOUT_MICROS);
    }

    /** The head of a watch's response is in: its first object or heartbeat must follow. */
    void onStreamOpened(long at) {
        require(WatchState.REQUESTED);
        state = WatchState.OPENED;
        call.open(at);
        deadline.set(at + WatchTimings.SILENCE_TIMEOUT_MICROS);
    }

    /** An object or a heartbeat of the watch is in and applied: the list is current. */
    void onEventReceived(long at) {
        require(WatchState.OPENED, WatchState.SYNCED);
        state = WatchState.SYNCED;
        call.lastEventAt = at;
        deadline.set(at + WatchTimings.SILENCE_TIMEOUT_MICROS);
        staleness.onSynced();
        retries.onSynced();
    }

    /**
     * The call failed, or the watch fell silent or ended.
     *
     * @return whether the module is to be told, and to say when to call again; else a synced watch was lost whose
     *         misses count soon, and {@link #nextCallBy} says when
     */
    boolean onWatchLost(long at) {
        boolean wasSynced = state == WatchState.SYNCED;
        boolean wasOpen = wasSynced || state == WatchState.OPENED;
        state = WatchState.IDLE;
        staleness.onLeft(at, call.lastEventAt);
        if (wasOpen) {
            retries.onWatchEnded(at, call, staleness.isSilent());
        }
        boolean hurries = staleness.isSilent() || settings.countsSoon();
        boolean atOnce = wasSynced && hurries && call.age(at) >= WatchTimings.SETTLED_AGE_MICROS;
        call.failed = !wasSynced;
        deadline.clear();
        nextCallBy = atOnce ? retries.reconnectAt(at) : retries.retryBy(at, call, staleness, settings);
        return !atOnce;
    }

    private void require(WatchState... allowed) {
        for (WatchState s : allowed) {
            if (s == state) {
                return;
            }
        }
        throw new IllegalStateException("a watch that is " + state);
    }

    // ---- answers ------------------------------------------------------------------------------------------

    WatchState state() {
        return state;
    }

    /** By when the next thing must have come (connection, response, object); after it the call or watch is broken. */
    long deadline() {
        return deadline.at();
    }

    /** How long the next read may take; 0 where the call or watch is broken. */
    long remainingMicros(long at) {
        return deadline.remaining(at);
    }

    /** When to call at the latest; {@link WatchTimings#NEVER} where that is left to the module. */
    long nextCallBy() {
        return nextCallBy;
    }

    /** Since when the list may be stale; {@link WatchTimings#NEVER} while a watch reports. */
    long staleSince() {
        return staleness.since();
    }

    /** When a change made at this time, and not come, counts as notified; where a watch reports, it would have come. */
    long notifiedAt(long changed) {
        return staleness.notifiedAt(changed, settings, call);
    }
}
