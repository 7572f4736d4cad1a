package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Merges updates from other members and this member's own reports into the table, and disseminates those that change
 * it.
 */
final class UpdateProcessor {
    private final LocalIdentity self;
    private final MembershipTable table;
    private final Refutation refutation;
    private final Dissemination dissemination;
    private final ViewPublisher publisher;
    private long suspicionsChangedAt;

    UpdateProcessor(LocalIdentity self, MembershipTable table, Refutation refutation, Dissemination dissemination,
            ViewPublisher publisher) {
        this.self = self;
        this.table = table;
        this.refutation = refutation;
        this.dissemination = dissemination;
        this.publisher = publisher;
    }

    /**
     * Processes an update that another member sent.
     *
     * @param disseminate whether the update is forwarded to others if it changes the table
     */
    void process(long now, MembershipUpdate update, boolean disseminate) {
        if (update.name().equals(self.name())) {
            refutation.onUpdateAboutSelf(now, update, disseminate);
        } else if (update instanceof Announcement a && table.merge(a, now)) {
            onMerged(now, a, disseminate);
        } else if (update instanceof Suspicion s && table.merge(s)) {
            onSuspicionMerged(now, s, disseminate);
        }
    }

    /** Reports that this member suspects the subject, or that it withdraws its suspicion. */
    void report(long now, MemberEntry subject, boolean isSuspected) {
        var suspicion = new Suspicion(subject.name(), subject.announcement().incarnation(), self.name(),
                self.nextSequence(), isSuspected);
        if (table.merge(suspicion)) {
            onSuspicionMerged(now, suspicion, true);
        }
    }

    /** Returns the time when a suspicion of a present member was last reported or withdrawn. */
    long suspicionsChangedAt() {
        return suspicionsChangedAt;
    }

    private void onSuspicionMerged(long now, Suspicion suspicion, boolean disseminate) {
        suspicionsChangedAt = table.get(suspicion.name()).isPresent() ? now : suspicionsChangedAt;
        onMerged(now, suspicion, disseminate);
    }

    private void onMerged(long now, MembershipUpdate update, boolean disseminate) {
        publisher.onTableChanged(now);
        if (disseminate) {
            dissemination.enqueue(update);
        }
    }
}
