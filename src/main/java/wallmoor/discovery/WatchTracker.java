package wallmoor.discovery;

import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * The watch's state machine with the discovery that it watches, both guarded by one lock: an event of a call that was
 * left behind for another discovery never reaches the machine. Safe for threads.
 */
final class WatchTracker {
    /** What follows from the end of a call. */
    enum LossOutcome {
        /** Nothing: the call was left behind for another discovery, and not lost. */
        SUPERSEDED,
        /** The module hears of a failure, and says when to call again. */
        FAILED,
        /** The machine calls again soon by itself. */
        RECONNECTING
    }

    /** How the list stood when a call was lost, for the log; microseconds. */
    record Loss(LossOutcome outcome, long staleFor, long notifiedIn) {}

    private static final long MICROS_PER_MILLI = 1_000;
    private static final Loss SUPERSEDED = new Loss(LossOutcome.SUPERSEDED, 0, 0);

    private final WatchStateMachine machine;
    private final LongSupplier clock;
    private volatile DiscoveryTarget target;

    /**
     * Makes it.
     *
     * @param clock microseconds that never go back; read under the lock, so that events are in order
     */
    WatchTracker(WatchStateMachine machine, LongSupplier clock, DiscoveryTarget target) {
        this.machine = machine;
        this.clock = clock;
        this.target = target;
    }

    /** Whether this is the discovery that is watched now. */
    boolean isCurrent(DiscoveryTarget called) {
        return called == target;
    }

    synchronized void onProcessStarted() {
        machine.onProcessStarted(clock.getAsLong());
    }

    /**
     * Other settings hold from now on.
     *
     * @param moved the discovery to watch from now on, or null where it stays
     */
    synchronized void reload(WatchSettings settings, DiscoveryTarget moved) {
        machine.updateSettings(settings);
        if (moved != null) {
            target = moved;
            machine.onDiscoveryMoved(clock.getAsLong());
        }
    }

    synchronized long nextCallBy() {
        return machine.nextCallBy();
    }

    DiscoveryTarget target() {
        return target;
    }

    /** A call begins; returns whom to call. */
    synchronized DiscoveryTarget onCallStarted() {
        machine.onCallStarted(clock.getAsLong());
        return target;
    }

    synchronized void onRequestSent(DiscoveryTarget called) {
        if (isCurrent(called)) {
            machine.onRequestSent(clock.getAsLong());
        }
    }

    synchronized void onStreamOpened(DiscoveryTarget called) {
        if (isCurrent(called)) {
            machine.onStreamOpened(clock.getAsLong());
        }
    }

    /** Counted from when the event has been applied: a gatherer that is late itself blames nobody. */
    synchronized void onEventReceived(DiscoveryTarget called) {
        if (isCurrent(called)) {
            machine.onEventReceived(clock.getAsLong());
        }
    }

    synchronized Loss onWatchLost(DiscoveryTarget called) {
        if (!isCurrent(called)) {
            return SUPERSEDED;
        }
        long now = clock.getAsLong();
        LossOutcome outcome = machine.onWatchLost(now) ? LossOutcome.FAILED : LossOutcome.RECONNECTING;
        return new Loss(outcome, now - machine.staleSince(), machine.notifiedAt(now) - now);
    }

    /**
     * How long the next thing may take, in milliseconds, rounded up: what lies unread already is always read.
     *
     * @throws SocketTimeoutException if the deadline has passed
     */
    int remainingMillis() throws SocketTimeoutException {
        long remaining;
        synchronized (this) {
            remaining = machine.remainingMicros(clock.getAsLong());
        }
        if (remaining <= 0) {
            throw new SocketTimeoutException("silent, or too slow");
        }
        return (int) Math.min(Integer.MAX_VALUE, (remaining + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
    }
}
