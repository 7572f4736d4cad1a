package wallmoor.discovery;

/** What became of the last call to discovery. Written by {@link WatchStateMachine} alone; times are microseconds. */
final class LastCall {
    /** When it began. */
    long startedAt;
    /** Whether its connection came up. */
    boolean reachedDiscovery;
    /** Whether it ended without a watch that reported something. */
    boolean failed;
    /** When its watch was opened; {@link WatchTimings#NEVER} where it was not. */
    long openedAt = WatchTimings.NEVER;
    /** When its watch last reported something, or was opened. */
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

    /** How long its watch has been open. */
    long age(long at) {
        return at - openedAt;
    }
}
