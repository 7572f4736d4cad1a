package wallmoor.peers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.peers.UnreachableMembers.SuspectedMember;

/**
 * Computes which members are suspected by credible observers, and how many members this one reaches. Results are cached
 * until the table changes, so that the cost of a query does not grow with the group.
 */
final class Reachability {
    /** The observers of an entry and those of them that suspect it, computed for this version of the rings. */
    private record CachedObservers(long ringVersion, SuspectedMember suspected) {}

    private final String self;
    private final ObserverRings rings;
    /** Present entries that at least one member suspects, by name. */
    private final TreeMap<String, MemberEntry> suspectedEntries = new TreeMap<>();
    private final Map<String, CachedObservers> cachedObservers = new HashMap<>();
    private long ringVersion;
    /** Cached result; null if an entry has changed since it was computed. */
    private Map<String, Set<String>> suspected;
    /** Cached result; valid while {@link #suspected} is not null. */
    private Set<String> unreachable;
    /** Cached result; null if an entry has changed since it was computed. */
    private Integer reachableCount;

    /** Creates the state for an empty table. */
    Reachability(String self, ObserverRings rings) {
        this.self = self;
        this.rings = rings;
    }

    /**
     * Processes a change of an entry.
     *
     * @param ringsChanged whether the change added the member to the rings or removed it from them
     */
    void onEntryChanged(MemberEntry entry, boolean ringsChanged) {
        if (ringsChanged) {
            ringVersion++;
        }
        cachedObservers.remove(entry.name());
        if (entry.isSuspected()) {
            suspectedEntries.put(entry.name(), entry);
        } else {
            suspectedEntries.remove(entry.name());
        }
        suspected = null;
        reachableCount = null;
    }

    /** Returns the suspected members, each with the reachable observers that suspect it. */
    Map<String, Set<String>> suspected() {
        refresh();
        return suspected;
    }

    /** Returns the members that more than half of their credible observers suspect. */
    Set<String> unreachable() {
        refresh();
        return unreachable;
    }

    private void refresh() {
        if (suspected != null) {
            return;
        }
        var all = new HashMap<String, SuspectedMember>();
        for (MemberEntry entry : suspectedEntries.values()) {
            SuspectedMember member = observersOf(entry);
            if (!member.suspectedBy().isEmpty()) {
                all.put(entry.name(), member);
            }
        }
        unreachable = UnreachableMembers.of(all);
        suspected = new HashMap<>();
        all.forEach((name, member) -> {
            var credible = new HashSet<>(member.suspectedBy());
            credible.removeAll(unreachable);
            if (!credible.isEmpty()) {
                suspected.put(name, credible);
            }
        });
    }

    private SuspectedMember observersOf(MemberEntry entry) {
        CachedObservers cached = cachedObservers.get(entry.name());
        if (cached == null || cached.ringVersion() != ringVersion) {
            Set<String> observers = rings.observers(entry.name());
            cached = new CachedObservers(ringVersion, new SuspectedMember(entry.suspectedBy(observers), observers));
            cachedObservers.put(entry.name(), cached);
        }
        return cached.suspected();
    }

    /** Returns the witnesses of a member: its observers that are reachable themselves. */
    Set<String> witnesses(String name) {
        Set<String> observers = rings.observers(name);
        observers.removeAll(unreachable());
        return observers;
    }

    /**
     * Returns the number of suspecting witnesses at which a member is removed: two thirds, rounded up, and at least two
     * if there are two or more witnesses.
     */
    static int cutThreshold(int witnesses) {
        return Math.max(Math.min(2, witnesses), (2 * witnesses + 2) / 3);
    }

    /**
     * Returns the number of reachable members: this one, its own subjects that it does not suspect, and the members
     * that have more reachable observers without a suspicion than observers with one; unreachable members are not
     * included. Only reachable observers count, because the absence of a suspicion means nothing if the reports of the
     * observers can't arrive. So a small part of a large group that is cut off does not assume a quorum. As a few
     * suspicions are outvoted, a single member that receives nothing can't deprive the others of their quorum.
     *
     * @param present number of members on the rings, which is the result if none is suspected
     */
    int reachableCount(int present) {
        if (reachableCount == null) {
            reachableCount = suspectedEntries.isEmpty() ? present
                    : rings.reachableFrom(self, this::reportsSilence, this::suspectingCount).size();
        }
        return reachableCount;
    }

    private boolean reportsSilence(String observer, String subject) {
        MemberEntry entry = suspectedEntries.get(subject);
        return unreachable().contains(subject) || (entry != null && entry.isSuspectedBy(observer));
    }

    private int suspectingCount(String subject) {
        return suspected().getOrDefault(subject, Set.of()).size();
    }
}
