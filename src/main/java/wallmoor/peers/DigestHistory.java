package wallmoor.peers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records this member's own recent digests. A sender whose digest is among them has no information that this member
 * lacks, so that this member is up to date with it. Times are microseconds.
 */
final class DigestHistory {
    private final MembershipParameters parameters;
    private final MembershipTable table;
    /** Own digests, each with the last time when it was current. */
    private final Map<Long, Long> digests = new LinkedHashMap<>();
    private long upToDateAt;

    DigestHistory(MembershipParameters parameters, MembershipTable table) {
        this.parameters = parameters;
        this.table = table;
    }

    /** Starts with this member regarded as up to date. */
    void onStart(long now) {
        upToDateAt = now;
    }

    /** Records the current digest and discards old ones. */
    void onTick(long now) {
        digests.put(table.digest(), now);
        digests.values().removeIf(at -> now - at > parameters.recentWindow());
    }

    /** Processes another member's digest, after the updates in the same message have been merged. */
    void onDigest(long now, long digest) {
        digests.put(table.digest(), now);
        upToDateAt = digests.containsKey(digest) ? now : upToDateAt;
    }

    /** Returns whether a message arrived recently from a member that has no information that this one lacks. */
    boolean isUpToDate(long now) {
        return now - upToDateAt <= parameters.recentWindow();
    }
}
