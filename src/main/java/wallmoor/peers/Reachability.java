package wallmoor.peers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.peers.UnreachableMembers.SuspectedMember;

/**
 * Who is suspected by observers whose word counts, and how many members this one reaches. What is asked for often is
 * computed once after a change, so that its cost does not grow with the group.
 */
final class Reachability {
    /** Observers that suspect an entry, of all of its observers, while the rings were in this version. */
    private record CachedObservers(long ringVersion, SuspectedMember suspected) {}

    private final String self;
    private final ObserverRings rings;
    /** Entries that any observer suspects, by name. */
    private final TreeMap<String, MemberEntry> suspectedEntries = new TreeMap<>();
    private final Map<String, CachedObservers> cachedObservers = new HashMap<>();
    private long ringVersion;
    /** Null where something has changed since they were computed. */
    private Map<String, Set<String>> suspected;
    private Set<String> unreachable;
    private Integer reachableCount;

    /** Nobody is known yet. */
    Reachability(String self, ObserverRings rings) {
        this.self = self;
        this.rings = rings;
    }

    /**
     * An entry has changed.
     *
     * @param ringsChanged whether it joined or left the rings by that
     */
    void entryChanged(MemberEntry entry, boolean ringsChanged) {
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

    /** Suspected members, each with the observers whose word counts: that of unreachable ones does not. */
    Map<String, Set<String>> suspected() {
        refresh();
        return suspected;
    }

    /** Members that more than half of their observers suspect, of the observers whose word counts. */
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

    /** Observers of a member that are witnesses: present, and reachable themselves. */
    Set<String> witnesses(String name) {
        Set<String> observers = rings.observers(name);
        observers.removeAll(unreachable());
        return observers;
    }

    /** Two in three of the witnesses; and never the word of one alone, where there is another. */
    static int cutThreshold(int witnesses) {
        return Math.max(Math.min(2, witnesses), (2 * witnesses + 2) / 3);
    }

    /**
     * Members that this one hears, or that more of the reachable ones which observe them hear than suspect; without the
     * unreachable ones. That nobody is known to suspect a member tells nothing where those who would are not heard
     * themselves: so a few of many that are cut off don't take silence for a quorum, nor one report that has not come
     * yet. And that one or a few suspect a member tells little where more hear it: so one that hears nobody takes
     * nobody's quorum.
     *
     * @param present members on the rings, which all are reachable where none is suspected
     */
    int reachableCount(int present) {
        if (reachableCount == null) {
            reachableCount = suspectedEntries.isEmpty() ? present
                    : rings.reachableFrom(self, this::doesNotHear, this::suspectingCount).size();
        }
        return reachableCount;
    }

    private boolean doesNotHear(String observer, String subject) {
        MemberEntry entry = suspectedEntries.get(subject);
        return unreachable().contains(subject) || (entry != null && entry.isSuspectedBy(observer));
    }

    private int suspectingCount(String subject) {
        return suspected().getOrDefault(subject, Set.of()).size();
    }
}
