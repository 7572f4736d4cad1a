package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;

/**
 * This member's own announcement, and the sequence numbers of its probes and suspicions. Both the incarnation and the
 * sequence numbers begin at the process' start time on the wall clock, and so are higher than those of the previous
 * process unless that clock was set back.
 */
final class LocalIdentity {
    private Announcement announcement;
    private long lastSequence;
    private boolean hasYielded;

    LocalIdentity(String name, String address, long bootId) {
        announcement = new Announcement(name, address, bootId, bootId, false);
        lastSequence = bootId;
    }

    String name() {
        return announcement.name();
    }

    long bootId() {
        return announcement.bootId();
    }

    long incarnation() {
        return announcement.incarnation();
    }

    Announcement announcement() {
        return announcement;
    }

    /** Begins a new incarnation, which invalidates all updates about earlier ones (SWIM, 4.2). */
    void beginIncarnation(long incarnation) {
        announcement = new Announcement(name(), announcement.address(), bootId(), incarnation, false);
    }

    /** Replaces the announcement by one that states that this member has left. */
    void leave() {
        announcement = new Announcement(name(), announcement.address(), bootId(), incarnation(), true);
    }

    /** Gives up the name, because another process that started earlier uses it. */
    void yieldName() {
        hasYielded = true;
    }

    boolean hasYielded() {
        return hasYielded;
    }

    /** Returns whether this member takes part in the group: it has neither left nor given up its name. */
    boolean isActive() {
        return !hasYielded && !announcement.hasLeft();
    }

    long nextSequence() {
        return ++lastSequence;
    }
}
