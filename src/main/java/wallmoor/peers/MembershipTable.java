package wallmoor.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * The known members by name, with the suspicions of each. An announcement of a newer incarnation replaces one of an
 * older incarnation; within an incarnation, an announcement of leaving replaces one of being present. The table holds
 * state and these rules of precedence, and sends no messages. It updates the rings, {@link Reachability} and
 * {@link TableDigest} after each change.
 */
final class MembershipTable {
    private final MembershipParameters parameters;
    private final TreeMap<String, MemberEntry> entries = new TreeMap<>();
    private final TreeMap<String, MemberEntry> rejoining = new TreeMap<>();
    private final ObserverRings rings;
    private final Reachability reachability;
    private final TableDigest digest = new TableDigest();
    private int presentCount;

    /** Creates an empty table; the member {@code self} itself is not in it yet. */
    MembershipTable(MembershipParameters parameters, String self) {
        this.parameters = parameters;
        rings = new ObserverRings(parameters.ringCount());
        reachability = new Reachability(self, rings);
    }

    private void onEntryChanged(MemberEntry entry) {
        digest.update(entry);
        boolean ringsChanged = entry.isPresent() != rings.contains(entry.name());
        if (ringsChanged && entry.isPresent()) {
            presentCount++;
            rings.add(entry.name());
        } else if (ringsChanged) {
            presentCount--;
            rings.remove(entry.name());
        }
        reachability.onEntryChanged(entry, ringsChanged);
    }

    /** Returns the entry of this name, or null. */
    MemberEntry get(String name) {
        return entries.get(name);
    }

    /** Returns all entries in the order of their names, including those of members that left or were removed. */
    Collection<MemberEntry> entries() {
        return entries.values();
    }

    int size() {
        return entries.size();
    }

    /** Returns the number of present members, including this one. */
    int presentCount() {
        return presentCount;
    }

    ObserverRings rings() {
        return rings;
    }

    /** Merges an announcement; returns whether it was newer than the known one. */
    boolean merge(Announcement announced, long now) {
        MemberEntry entry = entries.get(announced.name());
        if (entry == null) {
            if (entries.size() >= parameters.maxMembers()) {
                return false;
            }
            entry = new MemberEntry(announced, now);
            entries.put(announced.name(), entry);
        } else if (!isNewer(announced, entry.announcement())) {
            return false;
        } else {
            updateRejoining(entry, announced, now);
            entry.updateAnnouncement(announced);
        }
        onEntryChanged(entry);
        return true;
    }

    private static boolean isNewer(Announcement next, Announcement known) {
        return next.incarnation() > known.incarnation()
                || (next.incarnation() == known.incarnation() && next.hasLeft() && !known.hasLeft());
    }

    private void updateRejoining(MemberEntry entry, Announcement next, long now) {
        Announcement known = entry.announcement();
        if (next.bootId() != known.bootId() || next.hasLeft()) { // a new process has not been silent yet
            entry.endRejoining();
            rejoining.remove(entry.name());
        } else if ((entry.isRemoved() && !known.hasLeft()) || entry.isRejoining()) {
            entry.startRejoining(now + parameters.suspectAfter() + 2 * parameters.probeInterval());
            rejoining.put(entry.name(), entry);
        }
    }

    /**
     * Merges an observer's report; returns whether it was newer than the known one. A report on another incarnation
     * than the announced one is ignored.
     */
    boolean merge(Suspicion suspicion) {
        MemberEntry entry = entries.get(suspicion.name());
        if (entry == null || suspicion.incarnation() != entry.announcement().incarnation()
                || !entry.mergeSuspicion(suspicion)) {
            return false;
        }
        onEntryChanged(entry);
        return true;
    }

    /** Returns the members that were removed and have announced a new incarnation since. */
    Collection<MemberEntry> rejoining() {
        return rejoining.values();
    }

    /**
     * Admits rejoining members whose admission time has come, which leaves their observers enough time to suspect them,
     * unless so many witnesses suspect them that they would be removed again. Returns whether any member was admitted.
     */
    boolean admitRejoining(long now) {
        boolean hasAdmitted = false;
        for (MemberEntry entry : List.copyOf(rejoining.values())) {
            if (now < entry.admitAt()) {
                continue;
            }
            Set<String> witnesses = reachability.witnesses(entry.name());
            int suspecting = entry.suspectedBy(witnesses).size();
            if (suspecting == 0 || suspecting < Reachability.cutThreshold(witnesses.size())) {
                entry.endRejoining();
                rejoining.remove(entry.name());
                onEntryChanged(entry);
                hasAdmitted = true;
            }
        }
        return hasAdmitted;
    }

    /** Removes this incarnation of a member; its entry remains as a tombstone. */
    void remove(MemberEntry entry) {
        entry.markRemoved();
        onEntryChanged(entry);
    }

    /**
     * Deletes tombstones that are older than the retention. After half of the retention a tombstone is no longer sent
     * to others; otherwise a member that has just deleted it would receive it again from one that still has it.
     */
    void expireTombstones(long now) {
        entries.values().removeIf(entry -> {
            if (entry.isPresent() || entry.isRejoining()
                    || entry.since() >= now - parameters.tombstoneRetention() / 2) {
                return false;
            }
            if (!entry.isWithheld()) {
                entry.withhold();
                digest.update(entry);
            }
            return entry.since() < now - parameters.tombstoneRetention();
        });
    }

    /** Returns the suspected members, each with the reachable observers that suspect it. */
    Map<String, Set<String>> suspected() {
        return reachability.suspected();
    }

    /** Returns the members that more than half of their credible observers suspect. */
    Set<String> unreachable() {
        return reachability.unreachable();
    }

    /** Returns the reachable observers of a member. */
    Set<String> witnesses(String name) {
        return reachability.witnesses(name);
    }

    /** Returns the number of members that this one reaches, including itself. */
    int reachableCount() {
        return reachability.reachableCount(presentCount);
    }

    /** Returns the digest of the table, which is equal to that of another table with the same content. */
    long digest() {
        return digest.total();
    }

    /** Returns the digest of each bucket of members. */
    List<Long> bucketDigests() {
        return digest.buckets();
    }

    /**
     * Returns the content of the buckets whose digests differ from the given ones, as updates.
     *
     * @param digests another table's digests by bucket; if empty, the content of all buckets is returned
     */
    List<MembershipUpdate> updatesWhereDifferent(List<Long> digests) {
        var updates = new ArrayList<MembershipUpdate>();
        for (MemberEntry entry : entries.values()) {
            if (!entry.isWithheld() && digest.differs(entry, digests)) {
                updates.add(entry.announcement());
                updates.addAll(entry.suspicions());
            }
        }
        return updates;
    }
}
