package wallmoor.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.peers.GroupView.PartitionSide;

/**
 * Detects multi-process cuts (Rapid, 4.2): members that enough of their witnesses suspect are removed together, once no
 * further members are about to reach that threshold, and only if this side has a quorum. A witness is an observer that
 * is reachable itself. Times are microseconds.
 */
final class CutDetector {
    private static final long NEVER = -1;
    /** Suspicions from which a member may be about to be removed (Rapid: the low watermark L). */
    private static final int PENDING_SUSPICIONS = 2;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final LocalIdentity self;
    private final Quorum quorum;
    private final UpdateProcessor updates;
    private final ViewPublisher publisher;
    /** Time since which at least one member has been due for removal; {@link #NEVER} if none is. */
    private long cutSince = NEVER;
    /** Time since which this side has had a quorum; {@link #NEVER} if it has none. */
    private long quorumSince = NEVER;
    private long removals;

    CutDetector(MembershipParameters parameters, MembershipTable table, LocalIdentity self, Quorum quorum,
            UpdateProcessor updates, ViewPublisher publisher) {
        this.parameters = parameters;
        this.table = table;
        this.self = self;
        this.quorum = quorum;
        this.updates = updates;
        this.publisher = publisher;
    }

    /** Returns the number of members removed since the start. */
    long removals() {
        return removals;
    }

    /** Removes the members that are due, once the suspicions have been stable or the maximum delay has passed. */
    void onTick(long now) {
        boolean hasQuorum = quorum.sideByReachability(now) == PartitionSide.LARGER;
        quorumSince = !hasQuorum ? NEVER : quorumSince == NEVER ? now : quorumSince;
        // Suspicions from before the quorum was regained must be withdrawn before any of them leads to a removal.
        if (table.suspected().isEmpty() || !hasQuorum || now - quorumSince < parameters.suspectAfter()) {
            cutSince = NEVER;
            return;
        }
        var cut = new ArrayList<MemberEntry>();
        boolean isMorePending = collectCut(cut);
        if (cut.isEmpty()) {
            cutSince = NEVER;
            return;
        }
        cutSince = cutSince == NEVER ? now : cutSince;
        boolean isStable = now - updates.suspicionsChangedAt() >= parameters.cutQuietPeriod() && !isMorePending;
        if ((isStable || now - cutSince >= parameters.maxCutDelay()) && quorum.side(now) == PartitionSide.LARGER) {
            remove(now, cut);
        }
    }

    /** Adds the members that are due for removal to {@code cut}; returns whether further ones may be about to be. */
    private boolean collectCut(List<MemberEntry> cut) {
        boolean isMorePending = false;
        for (var suspected : table.suspected().entrySet()) {
            int witnesses = table.witnesses(suspected.getKey()).size();
            int suspecting = suspected.getValue().size();
            if (witnesses > 0 && suspecting >= Reachability.cutThreshold(witnesses)) {
                cut.add(table.get(suspected.getKey()));
            } else {
                isMorePending |= suspecting >= PENDING_SUSPICIONS;
            }
        }
        return isMorePending;
    }

    private void remove(long now, List<MemberEntry> cut) {
        Map<String, Set<String>> suspected = table.suspected();
        cut.sort(Comparator.comparing(MemberEntry::name));
        cut.forEach(table::remove);
        removals += cut.size();
        confirmRemovals(now);
        cutSince = NEVER;
        List<String> evidence = cut.stream().map(entry -> entry.name() + " by " + suspected.get(entry.name()))
                .toList();
        publisher.publish(now, "cut " + String.join(", ", evidence));
    }

    /**
     * Reports a suspicion of each removed member that this member observes now. Each removal changes the rings, and so
     * the observers of members that were removed before or in the same cut. Other gatherers that have removed fewer
     * members so far need the new observers' suspicions to reach the threshold.
     */
    private void confirmRemovals(long now) {
        for (MemberEntry entry : table.entries()) {
            if (entry.isRemoved() && !entry.announcement().hasLeft() && !entry.isSuspectedBy(self.name())
                    && table.rings().observers(entry.name()).contains(self.name())) {
                updates.report(now, entry, true);
            }
        }
    }
}
