package wallmoor.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * All that is known of members, by name, and who doubts whom. Newer lives win over older ones; of one life leaving wins
 * over being there. Holds state and the rules of precedence; it sends nothing. What is asked for often is kept up with
 * each change, or worked out once after it, so that its cost does not grow with the group.
 */
final class MembershipTable {
    /** Members fall into so many groups by name, each with a digest of its own: what differs is found by them. */
    static final int BUCKETS = 64;

    /** A member as known here. */
    static final class MemberEntry {
        MembershipUpdate.Announcement announcement;
        /** The life that was removed here; lower than any where none was. */
        private long removed = -1;
        /**
         * Said to be back in a newer life: taken in at this time, unless it is still not heard; 0 where it isn't
         * awaited.
         */
        private long awaitedUntil;
        long since;
        /** When it last sent this member anything. */
        long lastHeardAt = Long.MIN_VALUE / 2;
        /** When it was first heard of. */
        final long discoveredAt;
        /** When news was last sent to it for the news' sake. */
        long lastGossipAt = Long.MIN_VALUE / 2;
        GroupView.MemberState state = GroupView.MemberState.ALIVE;
        private final int group;
        private Map<String, MembershipUpdate.Suspicion> suspicions = Map.of();
        private long mixed;
        private boolean onRings;
        /** It went long ago: not told any more, only remembered. */
        private boolean faded;
        /** Observers that doubt it, of all of them, and for which rings that was worked out. */
        private UnreachableMembers.SuspectedMember accused;
        private long accusedRings;

        MemberEntry(MembershipUpdate.Announcement told, long since) {
            this.announcement = told;
            this.since = since;
            discoveredAt = since;
            group = (int) (ObserverRings.mix(told.name().hashCode()) & BUCKETS - 1);
        }

        /** Who said what of this life's being heard. */
        Collection<MembershipUpdate.Suspicion> suspicions() {
            return suspicions.values();
        }

        /** What this observer said last, or null. */
        MembershipUpdate.Suspicion suspicionBy(String observer) {
            return suspicions.get(observer);
        }

        /** Whether it is what this observer said last of this life that it does not hear it. */
        boolean isSuspectedBy(String observer) {
            MembershipUpdate.Suspicion d = suspicions.get(observer);
            return d != null && d.isActive();
        }

        /** Those of these observers that doubt it. */
        private Set<String> doubtedBy(Set<String> observers) {
            var by = new HashSet<String>();
            observers.stream().filter(this::isSuspectedBy).forEach(by::add);
            return by;
        }

        /** Whether this life is over: a newer one is known, or it was removed or has left. */
        boolean isObsolete(long incarnation) {
            return incarnation < announcement.incarnation() || incarnation <= removed
                    || incarnation == announcement.incarnation() && announcement.left();
        }

        boolean isRemoved() {
            return removed >= announcement.incarnation();
        }

        /** Was removed and says that it is back, which its observers have yet to see. */
        boolean isRejoining() {
            return awaitedUntil > 0;
        }

        /** Takes part: neither left nor removed nor awaited. */
        boolean isPresent() {
            return !announcement.left() && !isRemoved() && !isRejoining();
        }

        private boolean isDoubted() {
            return isPresent() && suspicions.values().stream().anyMatch(MembershipUpdate.Suspicion::isActive);
        }
    }

    private final MembershipParameters rules;
    private final String self;
    private final TreeMap<String, MemberEntry> entries = new TreeMap<>();
    private final TreeMap<String, MemberEntry> doubtful = new TreeMap<>();
    private final TreeMap<String, MemberEntry> rejoining = new TreeMap<>();
    private final ObserverRings rings;
    private long ringChanges;
    private int presentCount;
    private final long[] groups = new long[BUCKETS];
    private long digest;
    /** All null where something has changed since they were worked out. */
    private Map<String, Set<String>> suspected;
    private Set<String> unreachable;
    private Integer reachableCount;

    MembershipTable(MembershipParameters rules, String self) {
        this.rules = rules;
        this.self = self;
        rings = new ObserverRings(rules.ringCount());
    }

    private void changed(MemberEntry e) {
        mix(e);
        if (e.isPresent() != e.onRings) {
            e.onRings = e.isPresent();
            ringChanges++;
            if (e.onRings) {
                presentCount++;
                rings.add(e.announcement.name());
            } else {
                presentCount--;
                rings.remove(e.announcement.name());
            }
        }
        if (e.isDoubted()) {
            doubtful.put(e.announcement.name(), e);
        } else {
            doubtful.remove(e.announcement.name());
        }
        e.accused = null;
        suspected = null;
        reachableCount = null;
    }

    private void mix(MemberEntry e) {
        long mixed = 0;
        if (!e.faded) {
            mixed = 31L * e.announcement.name().hashCode() + e.announcement.incarnation() * 1_000_003L
                    + (e.announcement.left() ? 7 : 0);
            for (MembershipUpdate.Suspicion d : e.suspicions()) {
                // who never knew a doubt knows no less than who knows its end
                mixed = d.isActive() ? mixed * 31 + d.observer().hashCode() : mixed;
            }
            mixed = ObserverRings.mix(mixed);
        }
        groups[e.group] += mixed - e.mixed;
        digest += mixed - e.mixed;
        e.mixed = mixed;
    }

    MemberEntry get(String name) {
        return entries.get(name);
    }

    Collection<MemberEntry> all() {
        return entries.values();
    }

    int size() {
        return entries.size();
    }

    /** Members that take part, this one included. */
    int presentCount() {
        return presentCount;
    }

    ObserverRings rings() {
        return rings;
    }

    /** Takes news of a member in; whether it told anything. */
    boolean merge(MembershipUpdate.Announcement told, long now) {
        MemberEntry e = entries.get(told.name());
        if (e == null) {
            if (entries.size() >= rules.maxMembers()) {
                return false;
            }
            e = new MemberEntry(told, now);
            entries.put(told.name(), e);
        } else if (told.incarnation() < e.announcement.incarnation()
                || told.incarnation() == e.announcement.incarnation() && (e.announcement.left() || !told.left())) {
            return false;
        } else {
            // a process that has just started was never unheard
            if (told.bootId() != e.announcement.bootId() || told.left()) {
                await(e, 0);
            } else if (e.isRemoved() && !e.announcement.left() || e.isRejoining()) {
                await(e, now + rules.suspectAfter() + 2 * rules.probeInterval());
            }
            e.announcement = told;
            e.faded = false;
            if (!e.suspicions.isEmpty()) {
                e.suspicions.values().removeIf(d -> d.incarnation() < told.incarnation());
            }
        }
        changed(e);
        return true;
    }

    /** Takes a doubt in; whether it told anything. What doubts a life that is over tells nothing. */
    boolean merge(MembershipUpdate.Suspicion doubt) {
        MemberEntry e = entries.get(doubt.name());
        if (e == null || doubt.incarnation() != e.announcement.incarnation()) {
            return false;
        }
        MembershipUpdate.Suspicion old = e.suspicions.get(doubt.observer());
        if (old != null && old.sequence() >= doubt.sequence() || old == null && !doubt.isActive()) {
            return false;
        }
        if (e.suspicions.isEmpty()) {
            e.suspicions = new TreeMap<>(); // most are never doubted
        }
        e.suspicions.put(doubt.observer(), doubt);
        changed(e);
        return true;
    }

    private void await(MemberEntry e, long until) {
        e.awaitedUntil = until;
        if (until > 0) {
            rejoining.put(e.announcement.name(), e);
        } else {
            rejoining.remove(e.announcement.name());
        }
    }

    /** Members that were removed and say that they are back. */
    Collection<MemberEntry> rejoining() {
        return rejoining.values();
    }

    /**
     * Takes in those that were awaited for long enough for their observers to accuse them, and that were not accused by
     * so many as would have them removed again; whether there were any.
     */
    boolean admit(long now) {
        boolean any = false;
        for (MemberEntry e : List.copyOf(rejoining.values())) {
            if (now >= e.awaitedUntil) {
                Set<String> witnesses = witnesses(e.announcement.name());
                int doubts = e.doubtedBy(witnesses).size();
                if (doubts == 0 || doubts < cutThreshold(witnesses.size())) {
                    await(e, 0);
                    changed(e);
                    any = true;
                }
            }
        }
        return any;
    }

    /** Two in three of the witnesses; and never the word of one alone, where there is another. */
    static int cutThreshold(int witnesses) {
        return Math.max(Math.min(2, witnesses), (2 * witnesses + 2) / 3);
    }

    void remove(MemberEntry e) {
        e.removed = e.announcement.incarnation();
        changed(e);
    }

    /**
     * Forgets those that went long ago. Half of that time before, they are no longer told: else one that has just
     * forgotten them would learn them anew from one that is about to.
     */
    void expireTombstones(long now) {
        entries.values().removeIf(e -> {
            if (e.isPresent() || e.isRejoining() || e.since >= now - rules.tombstoneRetention() / 2) {
                return false;
            }
            if (!e.faded) {
                e.faded = true;
                mix(e);
            }
            return e.since < now - rules.tombstoneRetention();
        });
    }

    /** Members in doubt, each with the observers whose word counts: those that are no longer heard themselves don't. */
    Map<String, Set<String>> suspected() {
        weigh();
        return suspected;
    }

    /** Members that more than half of their observers, of those whose word counts, don't hear. */
    Set<String> unreachable() {
        weigh();
        return unreachable;
    }

    private void weigh() {
        if (suspected != null) {
            return;
        }
        var all = new HashMap<String, UnreachableMembers.SuspectedMember>();
        for (MemberEntry e : doubtful.values()) {
            if (e.accused == null || e.accusedRings != ringChanges) {
                Set<String> observers = rings.observers(e.announcement.name());
                e.accused = new UnreachableMembers.SuspectedMember(e.doubtedBy(observers), observers);
                e.accusedRings = ringChanges;
            }
            if (!e.accused.suspectedBy().isEmpty()) {
                all.put(e.announcement.name(), e.accused);
            }
        }
        unreachable = UnreachableMembers.of(all);
        suspected = new HashMap<>();
        all.forEach((name, accused) -> {
            var heard = new HashSet<>(accused.suspectedBy());
            heard.removeAll(unreachable);
            if (!heard.isEmpty()) {
                suspected.put(name, heard);
            }
        });
    }

    /** Observers of a member that are witnesses: present, and heard themselves. */
    Set<String> witnesses(String name) {
        Set<String> left = rings.observers(name);
        left.removeAll(unreachable());
        return left;
    }

    /**
     * Members that this one hears, or that more of the reachable ones which observe them hear than doubt; without those
     * that most don't hear. That nobody is known to doubt a member tells nothing where those who would are not heard
     * themselves: so a few of many that are cut off don't take silence for a quorum, nor one word that has not come
     * yet. And that one or a few doubt a member tells little where more hear it: so one that hears nobody takes
     * nobody's quorum.
     */
    int reachableCount() {
        if (reachableCount == null) {
            reachableCount = presentCount;
            if (!doubtful.isEmpty()) {
                Set<String> lost = unreachable();
                reachableCount = rings.reachableFrom(self, (observer, subject) -> {
                    MemberEntry e = doubtful.get(subject);
                    return lost.contains(subject) || e != null && e.isSuspectedBy(observer);
                }, subject -> suspected().getOrDefault(subject, Set.of()).size()).size();
            }
        }
        return reachableCount;
    }

    /** The same wherever the same is known of the same members; what each has concluded from it is its own. */
    long digest() {
        return digest;
    }

    /** The digests of the groups of members. */
    List<Long> bucketDigests() {
        var all = new ArrayList<Long>(BUCKETS);
        for (long g : groups) {
            all.add(g);
        }
        return all;
    }

    /** All that is known of the groups whose digests are not these, as news; of all groups where there are none. */
    List<MembershipUpdate> updatesWhereDifferent(List<Long> digests) {
        var all = new ArrayList<MembershipUpdate>();
        for (MemberEntry e : entries.values()) {
            if (!e.faded && (digests.size() != BUCKETS || digests.get(e.group) != groups[e.group])) {
                all.add(e.announcement);
                all.addAll(e.suspicions());
            }
        }
        return all;
    }
}
