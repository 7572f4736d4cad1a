package wallmoor.discovery;

import java.util.List;

/**
 * The state machine of the watch on the endpoint list. It computes the deadline for discovery's next message, the
 * latest time of the next call, and since when the list may be stale. It does no I/O; the caller reports each event
 * with its time. All times are microseconds of one monotonic clock. Not safe for concurrent use. docs/list-clock.md has
 * the table of states and events.
 *
 * <p>The decision module decides how long to back off after failures. This machine calls sooner in six cases only:
 * <ul>
 * <li>once, within {@link WatchTimings#RECONNECT_JITTER_MICROS}, after a synced watch fell silent, or after it was
 * reset and the settings require a prompt reconnect;</li>
 * <li>at once after discovery has moved;</li>
 * <li>after a watch fell silent, while its staleness bound has not passed;</li>
 * <li>after a watch ended, until the changes that it missed count as notified;</li>
 * <li>if, by the settings, missed changes count as notified before the decision module would call;</li>
 * <li>{@link WatchTimings#RETRY_PERIOD_MICROS} after the previous call, whatever its outcome.</li>
 * </ul>
 *
 * <p>A change that is made while discovery is unreachable is missed if it counts as notified, and its grace is over,
 * before discovery was reachable for long enough to be polled. That takes a wait and a call. The wait is up to {@link
 * WatchTimings#PUSHED_RETRY_SHARE} of the grace where lists are pushed, else up to {@link
 * WatchTimings#RETRY_PERIOD_MICROS}; the call is up to {@link WatchTimings#CONNECT_TIMEOUT_MICROS} and {@link
 * WatchTimings#RESPONSE_TIMEOUT_MICROS}. Where lists are polled, a change counts as notified only when discovery sends
 * it, or {@link WatchTimings#STALENESS_BOUND_MICROS} after discovery had it and was reachable.
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
     * Creates the state machine for a process that has not started yet.
     *
     * @param seed the seed of the jitter
     */
    WatchStateMachine(WatchSettings settings, long seed) {
        this.settings = settings;
        retries = new RetrySchedule(seed);
    }

    /** Replaces the settings; deadlines and retry times that are set already stay. */
    void updateSettings(WatchSettings newSettings) {
        settings = newSettings;
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** Records that the process started, with a list that may be old. The decision module requests a call at once. */
    void onProcessStarted(long at) {
        requireState(WatchState.IDLE);
        staleness.onProcessStarted(at);
        call.startedAt = at;
    }

    /** Records that another discovery is watched from now on, which is to be called at once. */
    void onDiscoveryMoved(long at) {
        staleness.onDiscoveryMoved(at);
        staleness.onDisconnected(at, call.lastEventAt);
        state = WatchState.IDLE;
        retries.onDiscoveryMoved();
        deadline.set(at); // the abandoned call must not delay the next one
        nextCallBy = at;
    }

    /** Records that a call started. */
    void onCallStarted(long at) {
        requireState(WatchState.IDLE);
        state = WatchState.CONNECTING;
        call.start(at);
        deadline.set(at + WatchTimings.CONNECT_TIMEOUT_MICROS);
        nextCallBy = WatchTimings.NEVER;
    }

    /** Records that a request is sent on an established connection. */
    void onRequestSent(long at) {
        requireState(WatchState.CONNECTING, WatchState.REQUESTED);
        state = WatchState.REQUESTED;
        call.reachedDiscovery = true;
        deadline.set(at + WatchTimings.RESPONSE_TIMEOUT_MICROS);
    }

    /** Records that the head of a watch's response was received; its first object or heartbeat must follow. */
    void onStreamOpened(long at) {
        requireState(WatchState.REQUESTED);
        state = WatchState.OPENED;
        call.open(at);
        deadline.set(at + WatchTimings.SILENCE_TIMEOUT_MICROS);
    }

    /** Records that an object or a heartbeat of the watch was received and applied, so that the list is current. */
    void onEventReceived(long at) {
        requireState(WatchState.OPENED, WatchState.SYNCED);
        state = WatchState.SYNCED;
        call.lastEventAt = at;
        deadline.set(at + WatchTimings.SILENCE_TIMEOUT_MICROS);
        staleness.onSynced();
        retries.onSynced();
    }

    /**
     * Records that the call failed, or that the watch fell silent or ended, and schedules the next call.
     *
     * @return true if the decision module must be notified, which may call before {@link #nextCallBy}; false if the
     *         machine reconnects by itself at {@link #nextCallBy}, as missed changes count as notified soon
     */
    boolean onWatchLost(long at) {
        boolean wasSynced = state == WatchState.SYNCED;
        boolean wasOpen = wasSynced || state == WatchState.OPENED;
        state = WatchState.IDLE;
        staleness.onDisconnected(at, call.lastEventAt);
        if (wasOpen) {
            retries.onWatchEnded(at, call, staleness.isSilent());
        }
        boolean isUrgent = staleness.isSilent() || settings.requiresPromptReconnect();
        boolean reconnects = wasSynced && isUrgent && call.watchAge(at) >= WatchTimings.SETTLED_AGE_MICROS;
        call.failed = !wasSynced;
        deadline.clear();
        nextCallBy = reconnects ? retries.scheduleReconnect(at) : retries.scheduleRetry(at, call, staleness, settings);
        return !reconnects;
    }

    private void requireState(WatchState... allowed) {
        for (WatchState allowedState : allowed) {
            if (allowedState == state) {
                return;
            }
        }
        throw new IllegalStateException("watch is in state " + state + "; allowed here: " + List.of(allowed));
    }

    // ---- queries ------------------------------------------------------------------------------------------

    WatchState state() {
        return state;
    }

    /** Returns when the next connection, response or object is due; if it is later, the call or watch is broken. */
    long deadline() {
        return deadline.deadline();
    }

    /** Returns how long the next read may take, or 0 if the call or watch is broken. */
    long remainingMicros(long at) {
        return deadline.remainingMicros(at);
    }

    /** Returns the latest time of the next call, or {@link WatchTimings#NEVER} if the decision module alone decides. */
    long nextCallBy() {
        return nextCallBy;
    }

    /** Returns since when the list may be stale, or {@link WatchTimings#NEVER} while a watch reports. */
    long staleSince() {
        return staleness.staleSince();
    }

    /**
     * Returns when a change that was made at {@code changedAt}, and not received, counts as notified. While a watch
     * reports, that is the time of the change, as it would have been received.
     */
    long notifiedAt(long changedAt) {
        return staleness.notifiedAt(changedAt, settings, call);
    }
}
