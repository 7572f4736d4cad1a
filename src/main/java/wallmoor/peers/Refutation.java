package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Refutes updates about this member itself (SWIM, 4.2): it begins a newer incarnation after a suspicion, or after an
 * incarnation that it did not begin.
 */
final class Refutation {
    /**
     * Number of times that another process may announce this name with a newer incarnation. After more conflicts two
     * processes with the name must be running, and the one that started later gives up the name.
     */
    private static final int MAX_CONFLICTS = 3;

    private final MembershipParameters parameters;
    private final LocalIdentity self;
    private final MembershipTable table;
    private final Dissemination dissemination;
    private final ViewPublisher publisher;
    private int conflicts;
    private long refutations;
    private long lastRefutationAt;

    Refutation(MembershipParameters parameters, LocalIdentity self, MembershipTable table, Dissemination dissemination,
            ViewPublisher publisher) {
        this.parameters = parameters;
        this.self = self;
        this.table = table;
        this.dissemination = dissemination;
        this.publisher = publisher;
    }

    /** Returns the number of suspicions refuted since the start. */
    long refutations() {
        return refutations;
    }

    /**
     * Processes an update about this member.
     *
     * @param disseminate whether a new incarnation is queued for dissemination
     */
    void onUpdateAboutSelf(long now, MembershipUpdate update, boolean disseminate) {
        if (update.incarnation() < self.incarnation()) {
            return;
        }
        if (update instanceof Announcement a && a.bootId() != self.bootId()) {
            onNameConflict(now, a, disseminate);
        } else if (update instanceof Suspicion s && shouldRefute(now, s)) {
            refutations++;
            lastRefutationAt = now;
            beginIncarnation(now, s.incarnation() + 1, disseminate);
        } else if (update instanceof Announcement a && a.hasLeft()) {
            beginIncarnation(now, a.incarnation() + 1, disseminate);
        }
    }

    private void onNameConflict(long now, Announcement other, boolean disseminate) {
        if (++conflicts > MAX_CONFLICTS && other.bootId() < self.bootId()) {
            self.yieldName();
            publisher.publish(now, "another process has this name and started earlier: this one no longer takes part");
            return;
        }
        beginIncarnation(now, other.incarnation() + 1, disseminate);
    }

    /**
     * Returns whether to refute a suspicion. Refutations are limited to one per one and a half suspicion timeouts, as
     * each one voids the earlier suspicions, and observers that receive nothing from this member could otherwise never
     * reach the threshold. A suspicion by an absent member is not refuted: it counts nowhere, and the refutation would
     * only cause needless dissemination.
     */
    private boolean shouldRefute(long now, Suspicion suspicion) {
        MemberEntry observer = table.get(suspicion.observer());
        boolean isObserverAbsent = observer != null && !observer.isPresent();
        return suspicion.isActive() && !isObserverAbsent
                && (refutations == 0 || now - lastRefutationAt >= 3 * parameters.suspectAfter() / 2);
    }

    private void beginIncarnation(long now, long incarnation, boolean disseminate) {
        self.beginIncarnation(incarnation);
        table.merge(self.announcement(), now);
        publisher.onTableChanged(now);
        if (disseminate) {
            dissemination.enqueue(self.announcement());
        }
    }
}
