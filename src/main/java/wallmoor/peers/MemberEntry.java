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
 * One member in the {@link MembershipTable}: its latest announcement, the suspicions of that incarnation, and when it
 * was last heard and told. Times are microseconds on the caller's clock. Whoever changes what is announced or suspected
 * reports it to the table, which keeps its indexes and digests by it.
 */
final class MemberEntry {
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Lower than any incarnation. */
    private static final long NONE_REMOVED = -1;
    private static final long NOT_REJOINING = 0;

    private final int bucket;
    private final long discoveredAt;
    private Announcement announcement;
    /** By observer; most members are never suspected. */
    private Map<String, Suspicion> suspicions = Map.of();
    /** The incarnation that was removed here. */
    private long removedIncarnation = NONE_REMOVED;
    /** A removed member that announced a new incarnation is admitted at this time, unless it is still not heard. */
    private long admitAt = NOT_REJOINING;
    private long lastHeardAt = NEVER;
    private long lastGossipAt = NEVER;
    private MemberState state = MemberState.ALIVE;
    private long since;
    /** It went long ago: remembered, but no longer told to others. */
    private boolean withheld;
    /** What it adds to the digest of its bucket. */
    private long digestContribution;

    /** A member that was heard of for the first time. */
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

    /** Takes a newer announcement; suspicions of earlier incarnations end with it. */
    void announce(Announcement next) {
        announcement = next;
        withheld = false;
        if (!suspicions.isEmpty()) {
            suspicions.values().removeIf(s -> s.incarnation() < next.incarnation());
        }
    }

    /** What each observer reported last of this incarnation, suspicions that were taken back included. */
    Collection<Suspicion> suspicions() {
        return suspicions.values();
    }

    /** What this observer reported last, or null. */
    Suspicion suspicionBy(String observer) {
        return suspicions.get(observer);
    }

    /** Whether this observer suspects this incarnation, by its latest report. */
    boolean isSuspectedBy(String observer) {
        Suspicion s = suspicions.get(observer);
        return s != null && s.isActive();
    }

    /** Those of these observers that suspect it. */
    Set<String> suspectedBy(Set<String> observers) {
        var suspecting = new HashSet<String>();
        observers.stream().filter(this::isSuspectedBy).forEach(suspecting::add);
        return suspecting;
    }

    /** Takes an observer's report of this incarnation; whether it was new. */
    boolean report(Suspicion suspicion) {
        Suspicion old = suspicions.get(suspicion.observer());
        boolean isNews = old == null ? suspicion.isActive() : suspicion.sequence() > old.sequence();
        if (!isNews) {
            return false;
        }
        if (suspicions.isEmpty()) {
            suspicions = new TreeMap<>();
        }
        suspicions.put(suspicion.observer(), suspicion);
        return true;
    }

    /** Whether this incarnation is over: a newer one is known, or it was removed or has left. */
    boolean isObsolete(long incarnation) {
        return incarnation < announcement.incarnation() || incarnation <= removedIncarnation
                || (announcement.left() && incarnation == announcement.incarnation());
    }

    void remove() {
        removedIncarnation = announcement.incarnation();
    }

    boolean isRemoved() {
        return removedIncarnation >= announcement.incarnation();
    }

    /** Was removed and announced a new incarnation, which its observers have yet to hear. */
    boolean isRejoining() {
        return admitAt > NOT_REJOINING;
    }

    long admitAt() {
        return admitAt;
    }

    void rejoin(long admissionTime) {
        admitAt = admissionTime;
    }

    void endRejoining() {
        admitAt = NOT_REJOINING;
    }

    /** Takes part: neither left nor removed nor rejoining. */
    boolean isPresent() {
        return !announcement.left() && !isRemoved() && !isRejoining();
    }

    /** Present, and suspected by an observer, whether that observer's word counts or not. */
    boolean isSuspected() {
        return isPresent() && suspicions.values().stream().anyMatch(Suspicion::isActive);
    }

    /** The state that the last view published. */
    MemberState state() {
        return state;
    }

    /** When it came to its state. */
    long since() {
        return since;
    }

    void enter(MemberState next, long now) {
        if (next != state) {
            state = next;
            since = now;
        }
    }

    void heard(long now) {
        lastHeardAt = now;
    }

    long lastHeardAt() {
        return lastHeardAt;
    }

    /** When it was last heard, or discovered if that was later. */
    long lastSeenAt() {
        return Math.max(lastHeardAt, discoveredAt);
    }

    void gossiped(long now) {
        lastGossipAt = now;
    }

    /** When a message was last sent to it only to disseminate updates. */
    long lastGossipAt() {
        return lastGossipAt;
    }

    boolean isWithheld() {
        return withheld;
    }

    void withhold() {
        withheld = true;
    }

    int bucket() {
        return bucket;
    }

    /** Keeps what it now adds to its bucket's digest; returns by how much that grew. */
    long replaceDigestContribution(long contribution) {
        long change = contribution - digestContribution;
        digestContribution = contribution;
        return change;
    }
}
