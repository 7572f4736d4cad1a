package wallmoor.peers;

import java.util.Set;
import wallmoor.peers.GroupView.PartitionSide;

/** Whether more than half of the group is on this member's side of a network partition, as far as it can tell. */
final class Quorum {
    /** More than one in so many neighbours that are silent tell of a partition. */
    private static final int SILENT_ONE_IN = 4;

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
     * This member's side. Where there may be a partition, what this member does not know of yet may be that its side is
     * the smaller one: it has no quorum unless one has spoken of late that knew nothing more.
     */
    PartitionSide side(long now) {
        PartitionSide side = sideByReachability(now);
        boolean mayBeBehind = side == PartitionSide.LARGER && !digests.isAbreast(now) && mayBePartitioned(now);
        return mayBeBehind ? PartitionSide.CANT_TELL : side;
    }

    /**
     * The side by who is reachable alone. A member that most don't hear may be removed by a side that it takes for its
     * own: it can't tell until they hear it again.
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
     * Whether more than a quarter of those that observe this member or are observed by it have said nothing for as long
     * as suspecting takes: there may be a partition, whatever has been told of it so far.
     */
    boolean mayBePartitioned(long now) {
        Set<String> neighbours = table.rings().observers(self.name());
        neighbours.addAll(table.rings().subjects(self.name()));
        long silent = neighbours.stream().map(table::get)
                .filter(entry -> now - entry.lastSeenAt() > parameters.suspectAfter()).count();
        return SILENT_ONE_IN * silent > neighbours.size();
    }
}
