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
 * All that is known of members, by name, and who suspects whom. A newer incarnation wins over an older one; of one
 * incarnation leaving wins over being there. It holds state and the rules of precedence, and sends nothing. The rings,
 * {@link Reachability} and {@link TableDigest} follow each change.
 */
final class MembershipTable {
    private final MembershipParameters parameters;
    private final TreeMap<String, MemberEntry> entries = new TreeMap<>();
    private final TreeMap<String, MemberEntry> rejoining = new TreeMap<>();
    private final ObserverRings rings;
    private final Reachability reachability;
    private final TableDigest digest = new TableDigest();
    private int presentCount;

    /** Nobody is known yet, not even the member {@code self} itself. */
    MembershipTable(MembershipParameters parameters, String self) {
        this.parameters = parameters;
        rings = new ObserverRings(parameters.ringCount());
        reachability = new Reachability(self, rings);
    }

    private void changed(MemberEntry entry) {
        digest.update(entry);
        boolean ringsChanged = entry.isPresent() != rings.contains(entry.name());
        if (ringsChanged && entry.isPresent()) {
            presentCount++;
            rings.add(entry.name());
        } else if (ringsChanged) {
            presentCount--;
            rings.remove(entry.name());
        }
        reachability.entryChanged(entry, ringsChanged);
    }

    /** The entry of this name, or null. */
    MemberEntry get(String name) {
        return entries.get(name);
    }

    /** All entries by name, of members that went as well. */
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

    /** Takes an announcement in; whether it was news. */
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
            entry.announce(announced);
        }
        changed(entry);
        return true;
    }

    private static boolean isNewer(Announcement next, Announcement known) {
        return next.incarnation() > known.incarnation()
                || (next.incarnation() == known.incarnation() && next.left() && !known.left());
    }

    private void updateRejoining(MemberEntry entry, Announcement next, long now) {
        Announcement known = entry.announcement();
        if (next.bootId() != known.bootId() || next.left()) { // a process that has just started was never silent
            entry.endRejoining();
            rejoining.remove(entry.name());
        } else if ((entry.isRemoved() && !known.left()) || entry.isRejoining()) {
            entry.rejoin(now + parameters.suspectAfter() + 2 * parameters.probeInterval());
            rejoining.put(entry.name(), entry);
        }
    }

    /** Takes an observer's report in; whether it was news. One of an incarnation that is over tells nothing. */
    boolean merge(Suspicion suspicion) {
        MemberEntry entry = entries.get(suspicion.name());
        if (entry == null || suspicion.incarnation() != entry.announcement().incarnation()
                || !entry.report(suspicion)) {
            return false;
        }
        changed(entry);
        return true;
    }

    /** Members that were removed and say that they are back. */
    Collection<MemberEntry> rejoining() {
        return rejoining.values();
    }

    /**
     * Admits those that were rejoining for long enough for their observers to suspect them, and that are not suspected
     * by so many as would have them removed again; whether there were any.
     */
    boolean admit(long now) {
        boolean any = false;
        for (MemberEntry entry : List.copyOf(rejoining.values())) {
            if (now < entry.admitAt()) {
                continue;
            }
            Set<String> witnesses = reachability.witnesses(entry.name());
            int suspecting = entry.suspectedBy(witnesses).size();
            if (suspecting == 0 || suspecting < Reachability.cutThreshold(witnesses.size())) {
                entry.endRejoining();
                rejoining.remove(entry.name());
                changed(entry);
                any = true;
            }
        }
        return any;
    }

    /** Removes this incarnation of a member; the entry stays as a tombstone. */
    void remove(MemberEntry entry) {
        entry.remove();
        changed(entry);
    }

    /**
     * Forgets those that went long ago. Half of that time before, they are no longer told: else one that has just
     * forgotten them would learn them anew from one that is about to.
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

    /** Suspected members, each with the observers whose word counts. */
    Map<String, Set<String>> suspected() {
        return reachability.suspected();
    }

    /** Members that more than half of their observers suspect, of the observers whose word counts. */
    Set<String> unreachable() {
        return reachability.unreachable();
    }

    /** Observers of a member whose word counts. */
    Set<String> witnesses(String name) {
        return reachability.witnesses(name);
    }

    /** Members that this one reaches, itself included. */
    int reachableCount() {
        return reachability.reachableCount(presentCount);
    }

    /** Equal wherever the same is known of the same members. */
    long digest() {
        return digest.total();
    }

    /** The digests of the buckets of members. */
    List<Long> bucketDigests() {
        return digest.buckets();
    }

    /** All that is known of the buckets whose digests are not these, as updates; of all where there are none. */
    List<MembershipUpdate> updatesWhereDifferent(List<Long> digests) {
        var all = new ArrayList<MembershipUpdate>();
        for (MemberEntry entry : entries.values()) {
            if (!entry.isWithheld() && digest.differs(entry, digests)) {
                all.add(entry.announcement());
                all.addAll(entry.suspicions());
            }
        }
        return all;
    }
}
