package wallmoor.consensus;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a voting member of a new group may take part in elections: once it knows that every member has stored
 * its state. Until then all members stay in term 0, so that a member without stored state that hears of a term above 0
 * has lost it, in whatever order the members start. Has no I/O and no clock.
 *
 * <p>
 * A Raft message, or a term above 0, proves that another member already knows this of all members. A majority that runs
 * while the others are down therefore starts as soon as one of it has started.
 */
final class GroupFounding {
    /** The term reported by a member that has stored nothing yet. Peers of earlier versions treat it like term 0. */
    static final int NO_STORED_STATE = -1;

    private final Set<String> unconfirmedVoters;

    /**
     * Creates the state of a member at its start.
     *
     * @param others all voting members except this one
     * @param isNew  whether this member was in no term above 0 so far, and need not catch up
     */
    GroupFounding(Collection<String> others, boolean isNew) {
        unconfirmedVoters = new TreeSet<>(isNew ? others : Set.of());
    }

    /** Returns the members that are not known to have stored their state. */
    Set<String> unconfirmedVoters() {
        return Set.copyOf(unconfirmedVoters);
    }

    /** Returns whether this member may take part in elections once its own state is stored. */
    boolean isComplete() {
        return unconfirmedVoters.isEmpty();
    }

    /** Handles the term reported by another member. */
    void onTermResponse(String voter, int term) {
        if (term > 0) {
            unconfirmedVoters.clear();
        } else if (term != NO_STORED_STATE) {
            unconfirmedVoters.remove(voter);
        }
    }

    /** Handles a Raft message of another member: only members that have started send any. */
    void onRaftMessage() {
        unconfirmedVoters.clear();
    }
}
