package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/** Merges what others say of members, and what this one reports itself; what was news is disseminated. */
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
     * Takes in an update that another member sent.
     *
     * @param disseminate whether what is news by it is to be gossiped to others
     */
    void process(long now, MembershipUpdate update, boolean disseminate) {
        if (update.name().equals(self.name())) {
            refutation.onUpdateAboutSelf(now, update, disseminate);
        } else if (update instanceof Announcement a && table.merge(a, now)) {
            merged(now, a, disseminate);
        } else if (update instanceof Suspicion s && table.merge(s)) {
            suspicionMerged(now, s, disseminate);
        }
    }

    /** This member reports that it suspects another, or that it hears it again. */
    void report(long now, MemberEntry subject, boolean isSuspected) {
        var suspicion = new Suspicion(subject.name(), subject.announcement().incarnation(), self.name(),
                self.nextSequence(), isSuspected);
        if (table.merge(suspicion)) {
            suspicionMerged(now, suspicion, true);
        }
    }

    /** When a suspicion of a present member last came or went. */
    long suspicionsChangedAt() {
        return suspicionsChangedAt;
    }

    private void suspicionMerged(long now, Suspicion suspicion, boolean disseminate) {
        suspicionsChangedAt = table.get(suspicion.name()).isPresent() ? now : suspicionsChangedAt;
        merged(now, suspicion, disseminate);
    }

    private void merged(long now, MembershipUpdate update, boolean disseminate) {
        publisher.learned(now);
        if (disseminate) {
            dissemination.enqueue(update);
        }
    }
}
