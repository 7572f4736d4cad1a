package wallmoor.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Checks a history of acts against the promise of the rules, apart from what made the history (as Jepsen's checkers).
 * An actor acts on an active version in full, and respects the restrictions of all versions up to a latest one. For
 * each version there is a first time at which somebody respects it, a first at which somebody acts on it in full, and a
 * last at which somebody acts who does not respect it. Times are microseconds of one clock.
 */
public final class InvariantChecker {
    private record OngoingAct(long activeVersion, long latestVersion, long from, long until) {}

    private final TreeMap<Long, Long> firstRespected = new TreeMap<>();
    private final TreeMap<Long, Long> firstActive = new TreeMap<>();
    /** By latest version respected, when somebody last acted so. */
    private final TreeMap<Long, Long> lastActed = new TreeMap<>();
    private final Map<Integer, OngoingAct> ongoing = new HashMap<>();
    private long totalActing;

    /**
     * From this time on an actor acts so, until {@code until} or until another call for it.
     *
     * @param activeVersion the version it acts on in full; 0 for none
     * @param latestVersion the latest version it respects
     * @param until         when it stops by itself
     */
    public void startedActing(int who, long at, long activeVersion, long latestVersion, long until) {
        OngoingAct before = ongoing.get(who);
        if (before != null && before.activeVersion == activeVersion && before.latestVersion == latestVersion
                && before.until == until) {
            return;
        }
        stoppedActing(who, at);
        if (until > at) {
            ongoing.put(who, new OngoingAct(activeVersion, latestVersion, at, until));
            firstRespected.merge(latestVersion, at, Math::min);
            firstActive.merge(activeVersion, at, Math::min);
        }
    }

    /** From this time on the actor does not act. */
    public void stoppedActing(int who, long at) {
        OngoingAct act = ongoing.remove(who);
        if (act != null) {
            long end = Math.min(at, act.until);
            lastActed.merge(act.latestVersion, end, Math::max);
            totalActing += end - act.from;
        }
    }

    /** Ends the history: all actors stop. */
    public void end(long at) {
        for (int who : Map.copyOf(ongoing).keySet()) {
            stoppedActing(who, at);
        }
    }

    /** Returns for how long all actors together have acted; after {@link #end}. */
    public long totalActing() {
        return totalActing;
    }

    /**
     * Returns for how long at most somebody acted without respecting a version that another respected already; after
     * {@link #end}. 0 or less means never.
     */
    public long longestContradiction() {
        return longestAfter(firstRespected);
    }

    /**
     * Returns for how long at most somebody acted without respecting a version that another acted on in full; after
     * {@link #end}. 0 or less means never.
     */
    public long longestOverlap() {
        return longestAfter(firstActive);
    }

    private long longestAfter(NavigableMap<Long, Long> firstTimes) {
        long longest = Long.MIN_VALUE;
        long earliest = Long.MAX_VALUE;
        // who respects a later version respects this one too, so the first time of this and all later ones counts
        for (long version : firstTimes.descendingKeySet()) {
            earliest = Math.min(earliest, firstTimes.get(version));
            for (long end : lastActed.headMap(version, false).values()) {
                longest = Math.max(longest, end - earliest);
            }
        }
        return longest;
    }
}
