package wallmoor.peers;

import java.util.Set;
import wallmoor.peers.GroupView.PartitionSide;

/** Determines which side of a network partition this member is on, and so whether it has a quorum. */
final class Quorum {
    /** A partition is possible if more than one in this number of neighbours is silent. */
    private static final int SILENT_NEIGHBOUR_DIVISOR = 4;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final LocalIdentity self;
    private final LocalHealth health;
    private final DigestHistory digests;

    Quorum(MembershipParameters parameters, MembershipTable table, LocalIdentity self, LocalHealth health,
            DigestHistory digests) {
        this.parameters = parameters;
        this.table = table;
        this.self = self;
        this.health = health;
        this.digests = digests;
    }

    /**
     * Returns this member's side. While a partition is possible, suspicions that have not arrived yet could show that
     * this is the smaller side. So this member then claims the larger side only if a message arrived recently from a
     * member that has no newer information.
     */
    PartitionSide side(long now) {
        PartitionSide side = sideByReachability(now);
        boolean mayBeOutdated = side == PartitionSide.LARGER && !digests.isUpToDate(now) && mayBePartitioned(now);
        return mayBeOutdated ? PartitionSide.CANT_TELL : side;
    }

    /**
     * Returns the side by the number of reachable members alone. The side of a member that most of its observers
     * suspect is unknown, because the members that it counts as reachable may have removed it already.
     */
    PartitionSide sideByReachability(long now) {
        int size = parameters.groupSize();
        if (health.isRecovering(now) || health.wasReportedUnreachable(now) || self.hasYielded()
                || table.presentCount() > size || 2 * table.reachableCount() == size) {
            return PartitionSide.CANT_TELL;
        }
        return 2 * table.reachableCount() > size ? PartitionSide.LARGER : PartitionSide.SMALLER;
    }

    /**
     * Returns whether a partition is possible: more than a quarter of this member's observers and subjects have been
     * silent for longer than the suspicion timeout, even if no suspicion of them has arrived yet.
     */
    boolean mayBePartitioned(long now) {
        Set<String> neighbours = table.rings().observers(self.name());
        neighbours.addAll(table.rings().subjects(self.name()));
        long silent = neighbours.stream().map(table::get)
                .filter(entry -> now - entry.lastSeenAt() > parameters.suspectAfter()).count();
        return SILENT_NEIGHBOUR_DIVISOR * silent > neighbours.size();
    }
}
