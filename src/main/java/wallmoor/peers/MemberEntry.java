package wallmoor.peers;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * One member in the {@link MembershipTable}: its latest announcement, the suspicions of that incarnation, and the times
 * of the last message from it and of the last gossip to it. Times are microseconds on the caller's clock. The table
 * must update its indexes and digests after each change of the announcement or the suspicions.
 */
final class MemberEntry {
    /** Earlier than any time; half of the minimum, so that differences with it don't overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Lower than any incarnation. */
    private static final long NONE_REMOVED = -1;
    private static final long NOT_REJOINING = 0;

    private final int bucket;
    private final long discoveredAt;
    private Announcement announcement;
    /** Suspicions by observer; an immutable empty map until the first one, as most members are never suspected. */
    private Map<String, Suspicion> suspicions = Map.of();
    /** The latest incarnation that was removed in this member's table. */
    private long removedIncarnation = NONE_REMOVED;
    /** Earliest time of admission of a removed member that announced a new incarnation, or {@link #NOT_REJOINING}. */
    private long admitAt = NOT_REJOINING;
    private long lastMessageAt = NEVER;
    private long lastGossipAt = NEVER;
    private MemberState state = MemberState.ALIVE;
    private long since;
    /** True if the entry is an old tombstone that is retained but no longer sent to others. */
    private boolean isWithheld;
    /** The entry's summand in the digest of its bucket. */
    private long digestContribution;

    /** Creates the entry of a member whose first announcement has arrived. */
    MemberEntry(Announcement announcement, long now) {
        this.announcement = announcement;
        since = now;
        discoveredAt = now;
        bucket = TableDigest.bucketOf(announcement.name());
    }

    String name() {
        return announcement.name();
    }

    String address() {
        return announcement.address();
    }

    Announcement announcement() {
        return announcement;
    }

    /** Replaces the announcement by a newer one and discards the suspicions of earlier incarnations. */
    void updateAnnouncement(Announcement next) {
        announcement = next;
        isWithheld = false;
        if (!suspicions.isEmpty()) {
            suspicions.values().removeIf(s -> s.incarnation() < next.incarnation());
        }
    }

    /** Returns the latest report of each observer on this incarnation, including withdrawn suspicions. */
    Collection<Suspicion> suspicions() {
        return suspicions.values();
    }

    /** Returns the latest report of this observer, or null. */
    Suspicion suspicionBy(String observer) {
        return suspicions.get(observer);
    }

    /** Returns whether this observer suspects this incarnation, by its latest report. */
    boolean isSuspectedBy(String observer) {
        Suspicion s = suspicions.get(observer);
        return s != null && s.isActive();
    }

    /** Returns the observers among these that suspect the member. */
    Set<String> suspectedBy(Set<String> observers) {
        var suspecting = new HashSet<String>();
        observers.stream().filter(this::isSuspectedBy).forEach(suspecting::add);
        return suspecting;
    }

    /** Merges an observer's report on this incarnation; returns whether it was newer than the known one. */
    boolean mergeSuspicion(Suspicion suspicion) {
        Suspicion old = suspicions.get(suspicion.observer());
        boolean isNewer = old == null ? suspicion.isActive() : suspicion.sequence() > old.sequence();
        if (!isNewer) {
            return false;
        }
        if (suspicions.isEmpty()) {
            suspicions = new TreeMap<>();
        }
        suspicions.put(suspicion.observer(), suspicion);
        return true;
    }

    /** Returns whether this incarnation has ended: a newer one is known, or it was removed or has left. */
    boolean isObsolete(long incarnation) {
        return incarnation < announcement.incarnation() || incarnation <= removedIncarnation
                || (announcement.hasLeft() && incarnation == announcement.incarnation());
    }

    /** Marks the current incarnation as removed. */
    void markRemoved() {
        removedIncarnation = announcement.incarnation();
    }

    boolean isRemoved() {
        return removedIncarnation >= announcement.incarnation();
    }

    /** Returns whether the member was removed and has announced a new incarnation that is not admitted yet. */
    boolean isRejoining() {
        return admitAt > NOT_REJOINING;
    }

    long admitAt() {
        return admitAt;
    }

    void startRejoining(long admissionTime) {
        admitAt = admissionTime;
    }

    void endRejoining() {
        admitAt = NOT_REJOINING;
    }

    /** Returns whether the member takes part: it has neither left nor been removed, and is not rejoining. */
    boolean isPresent() {
        return !announcement.hasLeft() && !isRemoved() && !isRejoining();
    }

    /** Returns whether the member is present and any member suspects it, whether that one is credible or not. */
    boolean isSuspected() {
        return isPresent() && suspicions.values().stream().anyMatch(Suspicion::isActive);
    }

    /** Returns the state in the latest published view. */
    MemberState state() {
        return state;
    }

    /** Returns the time when the member entered its state. */
    long since() {
        return since;
    }

    void enterState(MemberState next, long now) {
        if (next != state) {
            state = next;
            since = now;
        }
    }

    /** Records that a message from the member has arrived. */
    void markMessageReceived(long now) {
        lastMessageAt = now;
    }

    long lastMessageAt() {
        return lastMessageAt;
    }

    /** Returns the time of the last message from the member, or of its discovery if that was later. */
    long lastSeenAt() {
        return Math.max(lastMessageAt, discoveredAt);
    }

    /** Records that a message was sent to the member only to disseminate updates. */
    void markGossiped(long now) {
        lastGossipAt = now;
    }

    /** Returns the time when a message was last sent to the member only to disseminate updates. */
    long lastGossipAt() {
        return lastGossipAt;
    }

    /** Returns whether the entry is an old tombstone that is no longer sent to others. */
    boolean isWithheld() {
        return isWithheld;
    }

    /** Ends sending this entry to others. */
    void withhold() {
        isWithheld = true;
    }

    int bucket() {
        return bucket;
    }

    /** Replaces the summand in the bucket's digest; returns the difference from the previous one. */
    long replaceDigestContribution(long contribution) {
        long change = contribution - digestContribution;
        digestContribution = contribution;
        return change;
    }
}
