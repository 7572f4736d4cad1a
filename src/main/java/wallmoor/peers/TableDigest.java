package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Computes the digests for anti-entropy. Two tables with the same announcements and active suspicions have equal
 * digests, even if the members have drawn different conclusions from them, such as removals. Members are assigned to
 * buckets by name, and each bucket has its own digest, so that only buckets that differ need to be exchanged.
 */
final class TableDigest {
    /** A power of two, so that a hash is reduced to a bucket by a bit mask. */
    static final int BUCKET_COUNT = 64;
    private static final long HASH_FACTOR = 31;
    private static final long INCARNATION_FACTOR = 1_000_003;
    /** Summand that distinguishes an announcement of leaving. */
    private static final long LEFT_SUMMAND = 7;

    private final long[] buckets = new long[BUCKET_COUNT];
    private long total;

    static int bucketOf(String name) {
        return (int) (ObserverRings.mix(name.hashCode()) & (BUCKET_COUNT - 1));
    }

    /** Updates the digests after a change of the entry. */
    void update(MemberEntry entry) {
        long change = entry.replaceDigestContribution(entry.isWithheld() ? 0 : contribution(entry));
        buckets[entry.bucket()] += change;
        total += change;
    }

    private static long contribution(MemberEntry entry) {
        MembershipUpdate.Announcement announced = entry.announcement();
        long hash = HASH_FACTOR * announced.name().hashCode() + announced.incarnation() * INCARNATION_FACTOR
                + (announced.hasLeft() ? LEFT_SUMMAND : 0);
        for (Suspicion s : entry.suspicions()) {
            // A table without a suspicion is equal to one in which the suspicion is withdrawn.
            hash = s.isActive() ? hash * HASH_FACTOR + s.observer().hashCode() : hash;
        }
        return ObserverRings.mix(hash);
    }

    /** Returns the digest of the complete table. */
    long total() {
        return total;
    }

    /** Returns the digest of each bucket. */
    List<Long> buckets() {
        var digests = new ArrayList<Long>(BUCKET_COUNT);
        for (long digest : buckets) {
            digests.add(digest);
        }
        return digests;
    }

    /**
     * Returns whether the digest of this entry's bucket differs from that of another table.
     *
     * @param others the other table's digests by bucket; if their number is wrong, each bucket counts as different
     */
    boolean differs(MemberEntry entry, List<Long> others) {
        return others.size() != BUCKET_COUNT || others.get(entry.bucket()) != buckets[entry.bucket()];
    }
}
