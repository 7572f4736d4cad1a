package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Refutation of what is said of this member itself (SWIM, 4.2): a suspicion, or an incarnation that it did not begin,
 * is answered by a newer incarnation.
 */
final class Refutation {
    /**
     * A name whose incarnation was taken by another process so often has two processes: the one that started later
     * yields.
     */
    private static final int MAX_CONFLICTS = 3;

    private final MembershipParameters parameters;
    private final LocalIdentity self;
    private final MembershipTable table;
    private final Dissemination dissemination;
    private final ViewPublisher publisher;
    private int conflicts;
    private long refutations;
    private long refutedAt;

    Refutation(MembershipParameters parameters, LocalIdentity self, MembershipTable table, Dissemination dissemination,
            ViewPublisher publisher) {
        this.parameters = parameters;
        this.self = self;
        this.table = table;
        this.dissemination = dissemination;
        this.publisher = publisher;
    }

    /** Suspicions that were refuted since the start. */
    long refutations() {
        return refutations;
    }

    /**
     * Takes an update about this member.
     *
     * @param disseminate whether a new incarnation is to be gossiped to others
     */
    void onUpdateAboutSelf(long now, MembershipUpdate update, boolean disseminate) {
        if (update.incarnation() < self.incarnation()) {
            return;
        }
        if (update instanceof Announcement a && a.bootId() != self.bootId()) {
            conflict(now, a, disseminate);
        } else if (update instanceof Suspicion s && isToBeRefuted(now, s)) {
            refutations++;
            refutedAt = now;
            beginIncarnation(now, s.incarnation() + 1, disseminate);
        } else if (update instanceof Announcement a && a.left()) {
            beginIncarnation(now, a.incarnation() + 1, disseminate);
        }
    }

    private void conflict(long now, Announcement other, boolean disseminate) {
        if (++conflicts > MAX_CONFLICTS && other.bootId() < self.bootId()) {
            self.yieldName();
            publisher.publish(now, "another process has this name and was here first: taking no part");
            return;
        }
        beginIncarnation(now, other.incarnation() + 1, disseminate);
    }

    /**
     * Not too often, or those that never hear it could never agree. And the word of one that was removed counts
     * nowhere: to refute it would tell all others something new for nothing.
     */
    private boolean isToBeRefuted(long now, Suspicion suspicion) {
        MemberEntry observer = table.get(suspicion.observer());
        boolean isObserverGone = observer != null && !observer.isPresent();
        return suspicion.isActive() && !isObserverGone
                && (refutations == 0 || now - refutedAt >= 3 * parameters.suspectAfter() / 2);
    }

    private void beginIncarnation(long now, long incarnation, boolean disseminate) {
        self.beginIncarnation(incarnation);
        table.merge(self.announcement(), now);
        publisher.learned(now);
        if (disseminate) {
            dissemination.enqueue(self.announcement());
        }
    }
}
