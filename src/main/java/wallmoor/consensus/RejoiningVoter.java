package wallmoor.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * When a voter that has nothing kept may take part, and when it may vote: it does no I/O, and has no clock. It may have
 * voted, and confirmed entries, and lost that. So it asks <em>all</em> other voters for their term: in no term above
 * the highest of theirs has it ever voted or confirmed anything, as whom it answered was in that term itself. Nobody
 * hears its former process any more once it has answered. Where all say 0 there never was anything to lose. Else it
 * confirms entries of no older term, votes for nobody, and stands for nothing, until it has all that a leader knew to
 * be committed after that: in an entry of that leader's own term, for only then does the leader know of all before it.
 * It must be a leader of a later term than all had answered: an older one may count, for an entry that it commits
 * later, what the former process had confirmed. So whoever leads hands that over when it is asked.
 */
final class RejoiningVoter {
    private final Set<String> unansweredVoters;
    private final Map<String, Integer> terms = new TreeMap<>();
    private int minimumLeaderTerm;
    private long catchUpIndex = -1;
    private int catchUpTerm = -1;

    /**
     * One that asks.
     *
     * @param others   all voters but this one
     * @param asks  whether nothing was kept; else it only goes on learning, where it was not done with that
     * @param least what {@link #minimumLeaderTerm} was when it was not done; else 0
     */
    RejoiningVoter(Collection<String> others, boolean asks, int least) {
        unansweredVoters = new TreeSet<>(asks ? others : Set.of());
        this.minimumLeaderTerm = least;
    }

    /** The voters that must still answer before it takes part. */
    Set<String> unansweredVoters() {
        return Set.copyOf(unansweredVoters);
    }

    /** Another voter says which term it is in. */
    void onTermResponse(String voter, int term) {
        if (unansweredVoters.remove(voter)) {
            terms.put(voter, term);
            if (unansweredVoters.isEmpty()) {
                minimumLeaderTerm = startTerm() > 0 ? startTerm() + 1 : 0;
            }
        }
    }

    /** The term that it begins in. */
    int startTerm() {
        return terms.values().stream().mapToInt(t -> t).max().orElse(0);
    }

    /** It learns from a leader of this term or a later one, and votes for nobody before; 0 where it may vote. */
    int minimumLeaderTerm() {
        return minimumLeaderTerm;
    }

    /** A leader has told how far it knows entries to be committed. */
    void onLeaderCommit(int term, long committed) {
        if (term >= minimumLeaderTerm && term > catchUpTerm) {
            catchUpTerm = term;
            catchUpIndex = committed;
        }
    }

    /**
     * Entries are applied up to an index; {@code termAt} is the term of the one at {@link #catchUpIndex}. Whether it
     * has
     * learned.
     */
    boolean onApplied(long upTo, int termAt) {
        if (minimumLeaderTerm == 0 || catchUpIndex < 0 || upTo < catchUpIndex) {
            return false;
        }
        if (termAt != catchUpTerm) { // the leader knew of nothing of its own term yet: the next that it tells counts
            catchUpTerm = -1;
            catchUpIndex = -1;
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
