package wallmoor.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.Test;

/** Guards against a voter that votes again before it has caught up after the loss of its durable state. */
public class RejoiningVoterTest {
    @Test
    public void startsImmediatelyIfAllOthersReportTermZero() {
        var voter = new RejoiningVoter(List.of("a", "b"), true, 0);
        voter.onTermResponse("a", 0);
        assertEquals(Set.of("b"), voter.unansweredVoters());
        voter.onTermResponse("b", 0);
        assertEquals(Set.of(), voter.unansweredVoters());
        assertEquals(0, voter.minimumLeaderTerm());
    }

    @Test
    public void catchesUpOnlyWithLeaderOfTermAboveReportedTerms() {
        var voter = new RejoiningVoter(List.of("a", "b"), true, 0);
        voter.onTermResponse("a", 7);
        voter.onTermResponse("a", 9); // a repeated response is ignored
        voter.onTermResponse("b", 3);
        assertEquals(7, voter.startTerm());
        assertEquals(8, voter.minimumLeaderTerm());
        voter.onLeaderCommit(7, 100); // may count acknowledgements of the former process
        assertFalse(voter.onApplied(100, 7));
        voter.onLeaderCommit(8, 40);
        assertFalse(voter.onApplied(39, 8));
        assertTrue(voter.onApplied(40, 8));
        assertEquals(0, voter.minimumLeaderTerm());
        assertFalse("catches up only once", voter.onApplied(41, 7));
    }

    /** A new leader without a committed entry of its own term may not know all committed entries. */
    @Test
    public void doesNotCatchUpByEntryOfOlderTerm() {
        var voter = new RejoiningVoter(List.of("a", "b"), true, 0);
        voter.onTermResponse("a", 4);
        voter.onTermResponse("b", 4);
        voter.onLeaderCommit(5, 40);
        assertFalse(voter.onApplied(40, 4));
        assertTrue(voter.minimumLeaderTerm() > 0);
        voter.onLeaderCommit(5, 41);
        assertTrue(voter.onApplied(41, 5));
    }

    @Test
    public void continuesUnfinishedCatchUpWithoutTermRequests() {
        var voter = new RejoiningVoter(List.of("a", "b"), false, 7);
        assertEquals(Set.of(), voter.unansweredVoters());
        assertEquals(7, voter.minimumLeaderTerm());
    }
}
