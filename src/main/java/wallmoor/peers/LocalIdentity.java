package wallmoor.peers;

import wallmoor.peers.MembershipUpdate.Announcement;

/**
 * This member's own announcement, and the sequence numbers of its probes and suspicions. Both begin at the process'
 * start on the wall clock, and so beyond those of its last process, unless that clock was set back.
 */
final class LocalIdentity {
    private Announcement announcement;
    private long lastSequence;
    private boolean yielded;

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

    /** Begins a new incarnation, which voids what was said of earlier ones (SWIM, 4.2). */
    void beginIncarnation(long incarnation) {
        announcement = new Announcement(name(), announcement.address(), bootId(), incarnation, false);
    }

    /** Announces that it leaves. */
    void leave() {
        announcement = new Announcement(name(), announcement.address(), bootId(), incarnation(), true);
    }

    /** Leaves the name to another process that has it and was there first. */
    void yieldName() {
        yielded = true;
    }

    boolean hasYielded() {
        return yielded;
    }

    /** Whether it takes part: it has neither left nor yielded its name. */
    boolean isActive() {
        return !yielded && !announcement.left();
    }

    long nextSequence() {
        return ++lastSequence;
    }
}
