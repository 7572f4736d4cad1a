package wallmoor.discovery;

import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * The watch's state machine and the discovery that it watches, guarded by one lock: events of a call to a discovery
 * that is no longer the current one don't reach the machine. Safe for concurrent use.
 */
final class WatchTracker {
    /** The consequence of the end of a call. */
    enum LossOutcome {
        /** None, as the call was to a discovery that is no longer the current one. */
        SUPERSEDED,
        /** The decision module is notified of a failure, and decides when to call again. */
        FAILED,
        /** The state machine reconnects soon by itself. */
        RECONNECTING
    }

    /**
     * The consequence of the end of a call, with times for the log.
     *
     * @param staleForMicros   how long the list may have been stale already
     * @param notifiedInMicros how long until a change that is missed now counts as notified
     */
    record Loss(LossOutcome outcome, long staleForMicros, long notifiedInMicros) {}

    private static final long MICROS_PER_MILLI = 1_000;
    private static final Loss SUPERSEDED = new Loss(LossOutcome.SUPERSEDED, 0, 0);

    private final WatchStateMachine machine;
    private final LongSupplier clock;
    private volatile DiscoveryTarget target;

    /**
     * Creates a tracker.
     *
     * @param clock a monotonic clock in microseconds, read under the lock, so that events are in order
     */
    WatchTracker(WatchStateMachine machine, LongSupplier clock, DiscoveryTarget target) {
        this.machine = machine;
        this.clock = clock;
        this.target = target;
    }

    /** Returns whether this is the discovery that is watched now. */
    boolean isCurrent(DiscoveryTarget calledTarget) {
        return calledTarget == target;
    }

    synchronized void onProcessStarted() {
        machine.onProcessStarted(clock.getAsLong());
    }

    /**
     * Replaces the settings, and the discovery if it has moved.
     *
     * @param newTarget the discovery to watch from now on, or null if it is unchanged
     */
    synchronized void reload(WatchSettings settings, DiscoveryTarget newTarget) {
        machine.updateSettings(settings);
        if (newTarget != null) {
            target = newTarget;
            machine.onDiscoveryMoved(clock.getAsLong());
        }
    }

    synchronized long nextCallBy() {
        return machine.nextCallBy();
    }

    DiscoveryTarget target() {
        return target;
    }

    /** Records that a call started, and returns the discovery to call. */
    synchronized DiscoveryTarget onCallStarted() {
        machine.onCallStarted(clock.getAsLong());
        return target;
    }

    synchronized void onRequestSent(DiscoveryTarget calledTarget) {
        if (isCurrent(calledTarget)) {
            machine.onRequestSent(clock.getAsLong());
        }
    }

    synchronized void onStreamOpened(DiscoveryTarget calledTarget) {
        if (isCurrent(calledTarget)) {
            machine.onStreamOpened(clock.getAsLong());
        }
    }

    /**
     * Records that an event was received. Called after the event was applied, so that the time for applying it does not
     * shorten the time that discovery has for its next event.
     */
    synchronized void onEventReceived(DiscoveryTarget calledTarget) {
        if (isCurrent(calledTarget)) {
            machine.onEventReceived(clock.getAsLong());
        }
    }

    synchronized Loss onWatchLost(DiscoveryTarget calledTarget) {
        if (!isCurrent(calledTarget)) {
            return SUPERSEDED;
        }
        long now = clock.getAsLong();
        LossOutcome outcome = machine.onWatchLost(now) ? LossOutcome.FAILED : LossOutcome.RECONNECTING;
        return new Loss(outcome, now - machine.staleSince(), machine.notifiedAt(now) - now);
    }

    /**
     * Returns how long the next connection or read may take, in milliseconds, rounded up so that data that has arrived
     * already is always read.
     *
     * @throws SocketTimeoutException if the deadline has passed
     */
    int remainingMillis() throws SocketTimeoutException {
        long remaining;
        synchronized (this) {
            remaining = machine.remainingMicros(clock.getAsLong());
        }
        if (remaining <= 0) {
            throw new SocketTimeoutException("no response or event from discovery before the deadline");
        }
        return (int) Math.min(Integer.MAX_VALUE, (remaining + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
    }
}
