package wallmoor.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides when a voting member that has no durable state may take part, and when it may vote; no I/O and no clock.
 *
 * <p>
 * Raft's safety needs that a member keeps its term, vote and log. One that lost them may have voted, and confirmed
 * entries, before. So it asks <em>all</em> other members for their term: in no term above the highest of theirs has it
 * ever voted or confirmed anything, as whom it answered was in that term itself; and nobody hears its former process
 * any more once it has answered. Where all say 0 the group is new, and there was nothing to lose.
 *
 * <p>
 * Else it begins in the highest term heard, and neither votes nor stands for election until it has applied all that a
 * leader of a <em>later</em> term knew to be committed. An older leader may count, for an entry that it commits later,
 * what the former process had confirmed; so a leader that is asked for its term hands leadership over. And the leader
 * must have committed an entry of its own term, as only then does it know of all that was committed before (Raft,
 * section 5.4.2).
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
     * A member that starts.
     *
     * @param others            all voting members but this one
     * @param startedEmpty      whether it has no durable state; else it only goes on catching up, where it was not done
     * @param minimumLeaderTerm what {@link #minimumLeaderTerm} was when it was not done; else 0
     */
    RejoiningVoter(Collection<String> others, boolean startedEmpty, int minimumLeaderTerm) {
        unansweredVoters = new TreeSet<>(startedEmpty ? others : Set.of());
        this.minimumLeaderTerm = minimumLeaderTerm;
    }

    /** The members that must still answer before it takes part. */
    Set<String> unansweredVoters() {
        return Set.copyOf(unansweredVoters);
    }

    /** Another member says which term it is in; the first answer of each counts. */
    void onTermResponse(String voter, int term) {
        if (!unansweredVoters.remove(voter)) {
            return;
        }
        terms.put(voter, term);
        if (unansweredVoters.isEmpty()) {
            minimumLeaderTerm = startTerm() > 0 ? startTerm() + 1 : 0;
        }
    }

    /** The term that it begins in: the highest that was heard. */
    int startTerm() {
        return terms.values().stream().mapToInt(t -> t).max().orElse(0);
    }

    /** It learns from a leader of this term or a later one, and votes for nobody before; 0 where it may vote. */
    int minimumLeaderTerm() {
        return minimumLeaderTerm;
    }

    /** A leader has told how far it knows entries to be committed. */
    void onLeaderCommit(int term, long commitIndex) {
        if (term >= minimumLeaderTerm && term > catchUpTerm) {
            catchUpTerm = term;
            catchUpIndex = commitIndex;
        }
    }

    /**
     * Entries are applied up to an index.
     *
     * @param termAtCatchUpIndex the term of the entry at {@link #catchUpIndex}
     * @return whether it has caught up by that, and may vote from here on
     */
    boolean onApplied(long appliedIndex, int termAtCatchUpIndex) {
        if (minimumLeaderTerm == 0 || catchUpIndex < 0 || appliedIndex < catchUpIndex) {
            return false;
        }
        if (termAtCatchUpIndex != catchUpTerm) {
            // the leader had no entry of its own term committed: what it commits next counts
            catchUpTerm = UNKNOWN_TERM;
            catchUpIndex = UNKNOWN_INDEX;
            return false;
        }
        minimumLeaderTerm = 0;
        return true;
    }

    /** The index that must be applied, or negative where no leader was heard. */
    long catchUpIndex() {
        return catchUpIndex;
    }
}
