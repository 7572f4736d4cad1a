package wallmoor.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.peers.GroupView.PartitionSide;

/**
 * Multi-process cut detection (Rapid, 4.2): members that most of their witnesses suspect are removed, together with all
 * others that are about to be, and only where a quorum is on this side. Times are microseconds.
 */
final class CutDetector {
    private static final long NEVER = -1;
    /** A member that so many suspect may be about to be removed (Rapid: the low watermark L). */
    private static final int PENDING_SUSPICIONS = 2;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final LocalIdentity self;
    private final Quorum quorum;
    private final UpdateProcessor updates;
    private final ViewPublisher publisher;
    /** Since when there has been one to remove. */
    private long cutSince = NEVER;
    /** Since when a quorum has been here. */
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

    /** Members removed since the start. */
    long removals() {
        return removals;
    }

    /** Removes all that are to be, once they have been stable for long enough. */
    void onTick(long now) {
        boolean hasQuorum = quorum.sideByReachability(now) == PartitionSide.LARGER;
        quorumSince = !hasQuorum ? NEVER : quorumSince == NEVER ? now : quorumSince;
        // suspicions of before the quorum came back must go first
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

    /** Adds those that are to be removed; whether others may be about to be. */
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
     * With those that were removed, observers changed for all that were removed before or with them. Who observes one
     * of these now would have suspected it: it reports so, as others that have removed fewer so far wait for its word.
     */
    private void confirmRemovals(long now) {
        for (MemberEntry entry : table.all()) {
            if (entry.isRemoved() && !entry.announcement().left() && !entry.isSuspectedBy(self.name())
                    && table.rings().observers(entry.name()).contains(self.name())) {
                updates.report(now, entry, true);
            }
        }
    }
}
