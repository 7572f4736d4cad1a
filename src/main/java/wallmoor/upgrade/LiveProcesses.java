package wallmoor.upgrade;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Which processes of one gatherer are alive, by the heartbeats that they leave. While an old process and a new one
 * serve together each has its quota of what the gatherer may use or do at once.
 */
public final class LiveProcesses {
    /** A process on part of a core may miss a few. */
    public static final long HEARTBEAT_INTERVAL_MICROS = 250_000;
    /** While there are others: what one of them gives up is wanted by the other. */
    public static final long SHARED_HEARTBEAT_INTERVAL_MICROS = 50_000;
    /** Without a heartbeat for so long a process is gone, or stands still and does nothing that had to be counted. */
    public static final long LIVENESS_TIMEOUT_MICROS = 1_500_000;
    /** The claim of one that was killed binds no longer: its successor would have to wait. Four heartbeats fit in. */
    public static final long CLAIM_TIMEOUT_MICROS = 1_000_000;
    /** What is left of one that was killed may be removed after so long. */
    public static final long STALE_FILE_MICROS = 60_000_000;
    /** More than two are a mistake of who starts them; beyond this the quotas would be too small to serve by. */
    private static final int MAX_PROCESSES = 4;

    private LiveProcesses() {}

    /** This process's position at this time; it counts whether or not its own heartbeat is among them. */
    public static ProcessPosition position(String own, long now, Collection<ProcessHeartbeat> heartbeats) {
        List<ProcessHeartbeat> others = others(own, now, heartbeats, LIVENESS_TIMEOUT_MICROS);
        int index = 0;
        for (ProcessHeartbeat other : others) {
            index += other.name().compareTo(own) < 0 ? 1 : 0;
        }
        return new ProcessPosition(others.size() + 1, index);
    }

    /** The other processes that left a heartbeat within this time, in the order of their names. */
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

    /** Whether this heartbeat tells nothing any more. */
    public static boolean isStale(ProcessHeartbeat heartbeat, long now) {
        return Math.abs(now - heartbeat.atMicros()) > STALE_FILE_MICROS;
    }
}
