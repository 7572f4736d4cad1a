package wallmoor.discovery;

/** The progress and outcome of the last call to discovery. Times are in microseconds. */
final class LastCall {
    /** When the call started. */
    long startedAt;
    /** Whether the connection was established. */
    boolean reachedDiscovery;
    /** Whether the call ended before its watch reported anything. */
    boolean failed;
    /** When the watch was opened, or {@link WatchTimings#NEVER}. */
    long openedAt = WatchTimings.NEVER;
    /** When the watch last reported something, or was opened. */
    long lastEventAt;

    void start(long at) {
        startedAt = at;
        reachedDiscovery = false;
        openedAt = WatchTimings.NEVER;
    }

    void open(long at) {
        openedAt = at;
        lastEventAt = at;
    }

    /** Returns how long the watch has been open. */
    long watchAge(long at) {
        return at - openedAt;
    }
}
