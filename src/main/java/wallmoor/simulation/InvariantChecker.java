package wallmoor.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Checks a history of acts against the guarantee of the rules, independently of the code that produced the history, as
 * Jepsen's checkers do. An actor acts on an active version in full and respects the restrictions of all versions up to
 * its latest one. For each version there is a first time at which an actor respects it, a first time at which an actor
 * acts on it in full, and a last time at which an actor acts without respecting it. Times are microseconds of one
 * clock.
 */
public final class InvariantChecker {
    private record OngoingAct(long activeVersion, long latestVersion, long from, long until) {}

    private final TreeMap<Long, Long> firstRespected = new TreeMap<>();
    private final TreeMap<Long, Long> firstActive = new TreeMap<>();
    /** By latest version respected, the last time at which an actor with that latest version acted. */
    private final TreeMap<Long, Long> lastActed = new TreeMap<>();
    private final Map<Integer, OngoingAct> ongoingActs = new HashMap<>();
    private long totalActing;

    /**
     * Records that an actor acts on a version from a time, until {@code until} or until the next call for the actor.
     *
     * @param actor         the number of the actor
     * @param at            the time from which it acts
     * @param activeVersion the version that it acts on in full; 0 for none
     * @param latestVersion the latest version that it respects
     * @param until         the time at which it stops without another call
     */
    public void startedActing(int actor, long at, long activeVersion, long latestVersion, long until) {
        OngoingAct previous = ongoingActs.get(actor);
        if (previous != null && previous.activeVersion == activeVersion && previous.latestVersion == latestVersion
                && previous.until == until) {
            return;
        }
        stoppedActing(actor, at);
        if (until > at) {
            ongoingActs.put(actor, new OngoingAct(activeVersion, latestVersion, at, until));
            firstRespected.merge(latestVersion, at, Math::min);
            firstActive.merge(activeVersion, at, Math::min);
        }
    }

    /** Records that an actor does not act from a time on. */
    public void stoppedActing(int actor, long at) {
        OngoingAct act = ongoingActs.remove(actor);
        if (act != null) {
            long end = Math.min(at, act.until);
            lastActed.merge(act.latestVersion, end, Math::max);
            totalActing += end - act.from;
        }
    }

    /** Ends the history: all actors stop. */
    public void end(long at) {
        for (int actor : Map.copyOf(ongoingActs).keySet()) {
            stoppedActing(actor, at);
        }
    }

    /** Returns the sum of the times for which actors have acted. To be called after {@link #end}. */
    public long totalActing() {
        return totalActing;
    }

    /**
     * Returns the longest time for which an actor acted without respecting a version that another actor respected
     * already; 0 or less means never. To be called after {@link #end}.
     */
    public long longestContradiction() {
        return longestAfter(firstRespected);
    }

    /**
     * Returns the longest time for which an actor acted without respecting a version that another actor acted on in
     * full already; 0 or less means never. To be called after {@link #end}.
     */
    public long longestOverlap() {
        return longestAfter(firstActive);
    }

    private long longestAfter(NavigableMap<Long, Long> firstTimes) {
        long longest = Long.MIN_VALUE;
        long earliest = Long.MAX_VALUE;
        // an actor that respects a later version respects this one too: take the earliest of this and later versions
        for (long version : firstTimes.descendingKeySet()) {
            earliest = Math.min(earliest, firstTimes.get(version));
            for (long end : lastActed.headMap(version, false).values()) {
                longest = Math.max(longest, end - earliest);
            }
        }
        return longest;
    }
}
