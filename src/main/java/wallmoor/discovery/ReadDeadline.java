package wallmoor.discovery;

/**
 * By when the next thing must have come, and how long it may still be waited for. A gatherer that was late itself
 * blames nobody: it first reads what has come meanwhile. Times are microseconds.
 */
final class ReadDeadline {
    private long at = WatchTimings.NEVER;
    private long overdueSince = WatchTimings.NEVER;

    void set(long deadline) {
        at = deadline;
        overdueSince = WatchTimings.NEVER;
    }

    void clear() {
        set(WatchTimings.NEVER);
    }

    long at() {
        return at;
    }

    /** How long the next read may take; 0 where the deadline has passed and what lay unread had its time. */
    long remaining(long now) {
        if (now < at) {
            return at - now;
        }
        overdueSince = Math.min(overdueSince, now);
        return Math.max(0, Math.min(WatchTimings.LATE_READ_MICROS,
                overdueSince + WatchTimings.LATE_READS_MICROS - now));
    }
}
