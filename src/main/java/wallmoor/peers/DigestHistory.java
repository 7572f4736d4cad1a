package wallmoor.peers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * This member's own digests of late: one whose digest is among them knows nothing that this member does not, and so
 * this member is abreast of it. Times are microseconds.
 */
final class DigestHistory {
    private final MembershipParameters parameters;
    private final MembershipTable table;
    /** Until when each was this member's own. */
    private final Map<Long, Long> digests = new LinkedHashMap<>();
    private long abreastAt;

    DigestHistory(MembershipParameters parameters, MembershipTable table) {
        this.parameters = parameters;
        this.table = table;
    }

    /** The member starts. */
    void onStart(long now) {
        abreastAt = now;
    }

    /** A tick: remembers the present digest, and forgets old ones. */
    void onTick(long now) {
        digests.put(table.digest(), now);
        digests.values().removeIf(at -> now - at > parameters.recentWindow());
    }

    /** Another member has sent its digest, and what it sent with it was taken in. */
    void onDigest(long now, long digest) {
        digests.put(table.digest(), now);
        abreastAt = digests.containsKey(digest) ? now : abreastAt;
    }

    /** Whether one spoke recently that knew nothing more. */
    boolean isAbreast(long now) {
        return now - abreastAt <= parameters.recentWindow();
    }
}
