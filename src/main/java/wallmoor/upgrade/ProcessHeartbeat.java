package wallmoor.upgrade;

/**
 * The last heartbeat of a process.
 *
 * @param name     the unique name of the process; names sort by start time
 * @param atMicros the time of the heartbeat (microseconds of Unix time)
 * @param claim    the maximum that the process uses of the shared limit, or {@link #UNKNOWN_CLAIM}
 * @param draining whether the process reduces its use and then exits
 */
public record ProcessHeartbeat(String name, long atMicros, int claim, boolean draining) {
    /** The claim of a process that publishes none, as earlier versions did. */
    public static final int UNKNOWN_CLAIM = -1;
}
