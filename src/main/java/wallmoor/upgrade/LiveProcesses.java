package wallmoor.upgrade;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides from their heartbeats which processes of a gatherer are alive. While an old and a new process serve together,
 * each has a quota of the gatherer's limits.
 */
public final class LiveProcesses {
    /** Short against the timeouts, because a process on a fraction of a core may miss a few heartbeats. */
    public static final long HEARTBEAT_INTERVAL_MICROS = 250_000;
    /** The interval while there are several processes, so that quota released by one soon reaches the other. */
    public static final long SHARED_HEARTBEAT_INTERVAL_MICROS = 50_000;
    /** A process without a heartbeat for this time has exited, or hangs and uses nothing that must be counted. */
    public static final long LIVENESS_TIMEOUT_MICROS = 1_500_000;
    /** The claim of a killed process expires after this time, as its successor waits for it: four intervals. */
    public static final long CLAIM_TIMEOUT_MICROS = 1_000_000;
    /** The heartbeat file of a killed process may be deleted after this time. */
    public static final long STALE_FILE_MICROS = 60_000_000;
    /** More than two are an operating error; with more than this the quotas would be too small to serve with. */
    private static final int MAX_PROCESSES = 4;

    private LiveProcesses() {}

    /**
     * Returns this process's position at the given time. The process itself is counted even if its own heartbeat is
     * missing.
     *
     * @param own the name of this process
     * @param now microseconds of Unix time
     */
    public static ProcessPosition position(String own, long now, Collection<ProcessHeartbeat> heartbeats) {
        List<ProcessHeartbeat> others = others(own, now, heartbeats, LIVENESS_TIMEOUT_MICROS);
        int index = 0;
        for (ProcessHeartbeat other : others) {
            index += other.name().compareTo(own) < 0 ? 1 : 0;
        }
        return new ProcessPosition(others.size() + 1, index);
    }

    /**
     * Returns the heartbeats of at most three other processes, sorted by name.
     *
     * @param within the maximum age of a heartbeat, exclusive (microseconds)
     */
    public static List<ProcessHeartbeat> others(String own, long now, Collection<ProcessHeartbeat> heartbeats,
            long within) {
        var others = new ArrayList<ProcessHeartbeat>();
        for (ProcessHeartbeat heartbeat : heartbeats) {
            if (!heartbeat.name().equals(own) && Math.abs(now - heartbeat.atMicros()) < within) {
                others.add(heartbeat);
            }
        }
        others.sort((a, b) -> a.name().compareTo(b.name()));
        return List.copyOf(others.subList(0, Math.min(others.size(), MAX_PROCESSES - 1)));
    }

    /** Returns whether the heartbeat is so old that its file may be deleted. */
    public static boolean isStale(ProcessHeartbeat heartbeat, long now) {
        return Math.abs(now - heartbeat.atMicros()) > STALE_FILE_MICROS;
    }
}
