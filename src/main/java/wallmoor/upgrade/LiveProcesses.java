package wallmoor.upgrade;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Of the signs of life that the processes of one gatherer leave: how many they are, and which of them this one is.
 * While an old process and a new one serve together each takes its part of what the gatherer may have or do at once.
 */
public final class LiveProcesses {
    /** A sign is left each quarter of a second; a process on part of a core may miss a few. */
    public static final long HEARTBEAT_INTERVAL_MICROS = 250_000;
    /** While there are others: what one of them gives up is wanted by the other. */
    public static final long SHARED_HEARTBEAT_INTERVAL_MICROS = 50_000;
    /** Without a sign for so long a process is gone, or stands still and does nothing that would have to be counted. */
    public static final long LIVENESS_TIMEOUT_MICROS = 1_500_000;
    /** The claim of one that was killed binds no longer: its follower would have to wait. Four signs fit in. */
    public static final long CLAIM_TIMEOUT_MICROS = 1_000_000;
    /** What is left of one that was killed may be cleared away after so long. */
    public static final long STALE_FILE_MICROS = 60_000_000;
    /** More than two are a mistake of who starts them; beyond this the parts would be too small to serve by. */
    private static final int MAX_PROCESSES = 4;

    /**
     * A process' sign of life.
     *
     * @param name one for each process
     * @param atMicros      microseconds of Unix time of its last sign
     * @param claim   what it holds at most of the bound that all keep together, or {@link #UNKNOWN_CLAIM}
     * @param draining whether it takes ever less and then ends
     */
    public record ProcessHeartbeat(String name, long atMicros, int claim, boolean draining) {
        /** The claim of one that tells none, as programs of before did. */
        public static final int UNKNOWN_CLAIM = -1;
    }

    /**
     * How many there are and which one this is, from 0, in the order of their names.
     */
    public record ProcessPosition(int count, int index) {}

    private LiveProcesses() {}

    /** The processes there are at this time; this one counts whether or not its own sign is among them. */
    public static ProcessPosition position(String own, long now, Collection<ProcessHeartbeat> beats) {
        List<ProcessHeartbeat> others = others(own, now, beats, LIVENESS_TIMEOUT_MICROS);
        int place = (int) others.stream().filter(b -> b.name().compareTo(own) < 0).count();
        return new ProcessPosition(others.size() + 1, place);
    }

    /** Those that are there beside this one, as they gave a sign within this time, in the order of their names. */
    public static List<ProcessHeartbeat> others(String own, long now, Collection<ProcessHeartbeat> beats, long within) {
        return beats.stream().filter(b -> !b.name().equals(own) && Math.abs(now - b.atMicros()) < within)
                .sorted(Comparator.comparing(ProcessHeartbeat::name)).limit(MAX_PROCESSES - 1).toList();
    }

    /** Whether this sign tells nothing any more. */
    public static boolean isStale(ProcessHeartbeat beat, long now) {
        return Math.abs(now - beat.atMicros()) > STALE_FILE_MICROS;
    }
}
