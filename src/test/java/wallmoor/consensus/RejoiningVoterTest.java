package wallmoor.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.Test;

/** When a voter that lost what it kept may vote again. */
public class RejoiningVoterTest {
    @Test
    public void whereNobodyEverVotedItBeginsAtOnce() {
        var it = new RejoiningVoter(List.of("a", "b"), true, 0);
        it.onTermResponse("a", 0);
        assertEquals(Set.of("b"), it.unansweredVoters());
        it.onTermResponse("b", 0);
        assertEquals(Set.of(), it.unansweredVoters());
        assertEquals(0, it.minimumLeaderTerm());
    }

    @Test
    public void elseItLearnsFromALeaderOfALaterTermThanAnyHeard() {
        var it = new RejoiningVoter(List.of("a", "b"), true, 0);
        it.onTermResponse("a", 7);
        it.onTermResponse("a", 9); // told twice
        it.onTermResponse("b", 3);
        assertEquals(7, it.startTerm());
        assertEquals(8, it.minimumLeaderTerm());
        it.onLeaderCommit(7, 100); // it may count what the former process had confirmed
        assertFalse(it.onApplied(100, 7));
        it.onLeaderCommit(8, 40);
        assertFalse(it.onApplied(39, 8));
        assertTrue(it.onApplied(40, 8));
        assertEquals(0, it.minimumLeaderTerm());
        assertFalse("once", it.onApplied(41, 7));
    }

    /** A new leader that has nothing of its own term committed may not know of all that was. */
    @Test
    public void anEntryOfAnOlderTermShowsNothing() {
        var it = new RejoiningVoter(List.of("a", "b"), true, 0);
        it.onTermResponse("a", 4);
        it.onTermResponse("b", 4);
        it.onLeaderCommit(5, 40);
        assertFalse(it.onApplied(40, 4));
        assertTrue(it.minimumLeaderTerm() > 0);
        it.onLeaderCommit(5, 41);
        assertTrue(it.onApplied(41, 5));
    }

    @Test
    public void oneThatWasNotDoneGoesOnLearningAndAsksNobody() {
        var it = new RejoiningVoter(List.of("a", "b"), false, 7);
        assertEquals(Set.of(), it.unansweredVoters());
        assertEquals(7, it.minimumLeaderTerm());
    }
}
