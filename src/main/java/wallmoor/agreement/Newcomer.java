package wallmoor.agreement;

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
final class Newcomer {
    private final Set<String> unheard;
    private final Map<String, Integer> terms = new TreeMap<>();
    private int least;
    private long target = -1;
    private int targetTerm = -1;

    /**
     * One that asks.
     *
     * @param others   all voters but this one
     * @param asks  whether nothing was kept; else it only goes on learning, where it was not done with that
     * @param least what {@link #least} was when it was not done; else 0
     */
    Newcomer(Collection<String> others, boolean asks, int least) {
        unheard = new TreeSet<>(asks ? others : Set.of());
        this.least = least;
    }

    /** The voters that must still answer before it takes part. */
    Set<String> unheard() {
        return Set.copyOf(unheard);
    }

    /** Another voter says which term it is in. */
    void onTerm(String voter, int term) {
        if (unheard.remove(voter)) {
            terms.put(voter, term);
            if (unheard.isEmpty()) {
                least = term() > 0 ? term() + 1 : 0;
            }
        }
    }

    /** The term that it begins in. */
    int term() {
        return terms.values().stream().mapToInt(t -> t).max().orElse(0);
    }

    /** It learns from a leader of this term or a later one, and votes for nobody before; 0 where it may vote. */
    int least() {
        return least;
    }

    /** A leader has told how far it knows entries to be committed. */
    void onLeader(int term, long committed) {
        if (term >= least && term > targetTerm) {
            targetTerm = term;
            target = committed;
        }
    }

    /**
     * Entries are applied up to an index; {@code termAt} is the term of the one at {@link #target}. Whether it has
     * learned.
     */
    boolean onApplied(long upTo, int termAt) {
        if (least == 0 || target < 0 || upTo < target) {
            return false;
        }
        if (termAt != targetTerm) { // the leader knew of nothing of its own term yet: the next that it tells counts
            targetTerm = -1;
            target = -1;
            return false;
        }
        least = 0;
        return true;
    }

    /** The index that must be applied, or negative where no leader was heard. */
    long target() {
        return target;
    }
}
