package wallmoor.upgrade;

/**
 * The last heartbeat of a process.
 *
 * @param name     one for each process, in the order of their starts
 * @param atMicros microseconds of Unix time
 * @param claim    what it uses at most of the limit that all share, or {@link #UNKNOWN_CLAIM}
 * @param draining whether it uses ever less and then ends
 */
public record ProcessHeartbeat(String name, long atMicros, int claim, boolean draining) {
    /** The claim of a process that tells none, as earlier versions did. */
    public static final int UNKNOWN_CLAIM = -1;
}
