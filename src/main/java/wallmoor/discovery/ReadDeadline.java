package wallmoor.discovery;

/**
 * The deadline for the next event of a call, and the time that reads may still take. After the deadline, data that has
 * arrived already is still read for a short time, so that a call does not fail because this process was late itself.
 * Times are in microseconds.
 */
final class ReadDeadline {
    private long deadline = WatchTimings.NEVER;
    private long overdueSince = WatchTimings.NEVER;

    void set(long newDeadline) {
        deadline = newDeadline;
        overdueSince = WatchTimings.NEVER;
    }

    void clear() {
        set(WatchTimings.NEVER);
    }

    long deadline() {
        return deadline;
    }

    /** Returns how long the next read may take; 0 if the deadline has passed and so has the time for late reads. */
    long remainingMicros(long now) {
        if (now < deadline) {
            return deadline - now;
        }
        overdueSince = Math.min(overdueSince, now);
        return Math.max(0, Math.min(WatchTimings.LATE_READ_TIMEOUT_MICROS,
                overdueSince + WatchTimings.LATE_READ_WINDOW_MICROS - now));
    }
}
