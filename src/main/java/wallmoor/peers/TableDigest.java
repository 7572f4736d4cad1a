package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Digests for anti-entropy: equal wherever the same is known of the same members, whatever each has concluded from it.
 * Members fall into buckets by name, each with a digest of its own, so that two tables that differ need only exchange
 * the buckets that do.
 */
final class TableDigest {
    /** A power of two. */
    static final int BUCKETS = 64;
    private static final long HASH_FACTOR = 31;
    private static final long INCARNATION_FACTOR = 1_000_003;
    private static final long LEFT = 7;

    private final long[] buckets = new long[BUCKETS];
    private long total;

    static int bucketOf(String name) {
        return (int) (ObserverRings.mix(name.hashCode()) & (BUCKETS - 1));
    }

    /** The entry has changed. */
    void update(MemberEntry entry) {
        long change = entry.replaceDigestContribution(entry.isWithheld() ? 0 : contribution(entry));
        buckets[entry.bucket()] += change;
        total += change;
    }

    private static long contribution(MemberEntry entry) {
        MembershipUpdate.Announcement announced = entry.announcement();
        long hash = HASH_FACTOR * announced.name().hashCode() + announced.incarnation() * INCARNATION_FACTOR
                + (announced.left() ? LEFT : 0);
        for (Suspicion s : entry.suspicions()) {
            // who never knew a suspicion knows no less than who knows that it was taken back
            hash = s.isActive() ? hash * HASH_FACTOR + s.observer().hashCode() : hash;
        }
        return ObserverRings.mix(hash);
    }

    /** The digest of the complete table. */
    long total() {
        return total;
    }

    /** The digest of each bucket. */
    List<Long> buckets() {
        var all = new ArrayList<Long>(BUCKETS);
        for (long digest : buckets) {
            all.add(digest);
        }
        return all;
    }

    /** Whether this entry's bucket differs from another table's; all do where the other table's are not known. */
    boolean differs(MemberEntry entry, List<Long> others) {
        return others.size() != BUCKETS || others.get(entry.bucket()) != buckets[entry.bucket()];
    }
}
