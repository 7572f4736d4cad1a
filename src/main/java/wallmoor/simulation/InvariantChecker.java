package wallmoor.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges a history of acts, knowing nothing of how they came about. An act goes by a version wholly, and heeds all up
 * to a last one: what these take away it does not do. For each version there is a first time at which somebody heeds
 * it, a first at which somebody goes by it wholly, and a last at which somebody acts who does not heed it. Times are
 * microseconds.
 */
public final class InvariantChecker {
    private record Open(long wholly, long heeds, long from, long until) {}

    private final TreeMap<Long, Long> firstHeeded = new TreeMap<>();
    private final TreeMap<Long, Long> firstWholly = new TreeMap<>();
    private final TreeMap<Long, Long> lastActed = new TreeMap<>();
    private final Map<Integer, Open> open = new HashMap<>();
    private long totalActing;

    /**
     * From this time on somebody acts so, until the time it knows of, or until told otherwise.
     *
     * @param wholly the version it goes by; 0 for none
     * @param heeds  the last version it heeds
     * @param until  it ceases by itself at this time; it was not before it
     */
    public void startedActing(int who, long at, long wholly, long heeds, long until) {
        Open before = open.get(who);
        if (before != null && before.wholly == wholly && before.heeds == heeds && before.until == until) {
            return;
        }
        stoppedActing(who, at);
        if (until > at) {
            open.put(who, new Open(wholly, heeds, at, until));
            firstHeeded.merge(heeds, at, Math::min);
            firstWholly.merge(wholly, at, Math::min);
        }
    }

    /** From this time on it does not act. */
    public void stoppedActing(int who, long at) {
        Open was = open.remove(who);
        if (was != null) {
            long end = Math.min(at, was.until);
            lastActed.merge(was.heeds, end, Math::max);
            totalActing += end - was.from;
        }
    }

    /** All cease. */
    public void end(long at) {
        for (int who : Map.copyOf(open).keySet()) {
            stoppedActing(who, at);
        }
    }

    /** For how long all together have acted; after {@link #end}. */
    public long totalActing() {
        return totalActing;
    }

    /** The longest that somebody acted without heeding a version that another heeded already; after {@link #end}. */
    public long longestContradiction() {
        return longestContradiction(firstHeeded);
    }

    /** The longest that somebody acted without heeding a version that another went by wholly; 0 or less is never. */
    public long longestOverlap() {
        return longestContradiction(firstWholly);
    }

    private long longestContradiction(TreeMap<Long, Long> first) {
        long worst = Long.MIN_VALUE;
        long earliest = Long.MAX_VALUE;
        // of a version and all after it, the first time counts: who heeds a later one heeds this one
        for (long version : first.descendingKeySet()) {
            earliest = Math.min(earliest, first.get(version));
            for (long end : lastActed.headMap(version, false).values()) {
                worst = Math.max(worst, end - earliest);
            }
        }
        return worst;
    }
}
