package wallmoor.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides when a voting member without durable state may join the group, and when it may vote. Has no I/O and no clock.
 *
 * <p>
 * Raft is safe only if a member keeps its term, vote and log. A member that lost them may have voted and acknowledged
 * entries before. It therefore requests the term of <em>all</em> other members. It has never voted or acknowledged
 * anything in a term above the highest reported one, as the member that received such a message was in that term
 * itself. Once a member has responded, it no longer accepts messages of the former process. If no member reports a term
 * above 0, the group is new and nothing was lost. The reverse holds as well: {@link GroupFounding} lets no member enter
 * term 1 before all members have stored their state, so a term above 0 proves that this one had some.
 *
 * <p>
 * Otherwise the member starts in the highest reported term, and neither votes nor starts an election until it has
 * applied everything that a leader of a <em>later</em> term knew to be committed. An older leader may count an
 * acknowledgement of the former process for an entry that it commits later; so a leader that receives a term request
 * transfers its leadership. The leader must also have committed an entry of its own term, as only then does it know all
 * entries committed before (Raft, section 5.4.2).
 */
final class RejoiningVoter {
    private static final long UNKNOWN_INDEX = -1;
    private static final int UNKNOWN_TERM = -1;

    private final Set<String> unansweredVoters;
    private final Map<String, Integer> terms = new TreeMap<>();
    private int minimumLeaderTerm;
    private long catchUpIndex = UNKNOWN_INDEX;
    private int catchUpTerm = UNKNOWN_TERM;

    /**
     * Creates the state of a member at its start.
     *
     * @param others            all voting members except this one
     * @param startedEmpty      whether it has no durable state; otherwise it only continues an unfinished catch-up
     * @param minimumLeaderTerm the stored {@link #minimumLeaderTerm} of an unfinished catch-up; 0 if there is none
     */
    RejoiningVoter(Collection<String> others, boolean startedEmpty, int minimumLeaderTerm) {
        unansweredVoters = new TreeSet<>(startedEmpty ? others : Set.of());
        this.minimumLeaderTerm = minimumLeaderTerm;
    }

    /** Returns the members that must still respond before this member joins. */
    Set<String> unansweredVoters() {
        return Set.copyOf(unansweredVoters);
    }

    /** Handles the term reported by another member; only the first response of each counts. */
    void onTermResponse(String voter, int term) {
        if (!unansweredVoters.remove(voter)) {
            return;
        }
        terms.put(voter, term);
        if (unansweredVoters.isEmpty()) {
            minimumLeaderTerm = startTerm() > 0 ? startTerm() + 1 : 0;
        }
    }

    /** Returns the term that this member starts in: the highest reported one, or 0 if no member was in any term. */
    int startTerm() {
        return terms.values().stream().mapToInt(t -> t).filter(t -> t > 0).max().orElse(0);
    }

    /** Returns the lowest term of a leader that this member may catch up with before it votes; 0 if it may vote. */
    int minimumLeaderTerm() {
        return minimumLeaderTerm;
    }

    /** Handles the commit index reported by a leader. */
    void onLeaderCommit(int term, long commitIndex) {
        if (term >= minimumLeaderTerm && term > catchUpTerm) {
            catchUpTerm = term;
            catchUpIndex = commitIndex;
        }
    }

    /**
     * Handles the application of entries up to an index.
     *
     * @param termAtCatchUpIndex the term of the entry at {@link #catchUpIndex}
     * @return whether this member has now caught up and may vote
     */
    boolean onApplied(long appliedIndex, int termAtCatchUpIndex) {
        if (minimumLeaderTerm == 0 || catchUpIndex < 0 || appliedIndex < catchUpIndex) {
            return false;
        }
        if (termAtCatchUpIndex != catchUpTerm) {
            // the leader had committed no entry of its own term: waits for its next commit index
            catchUpTerm = UNKNOWN_TERM;
            catchUpIndex = UNKNOWN_INDEX;
            return false;
        }
        minimumLeaderTerm = 0;
        return true;
    }

    /**
     * Returns the index that must be applied before this member votes, or a negative value if no leader has reported
     * one.
     */
    long catchUpIndex() {
        return catchUpIndex;
    }
}
