package wallmoor.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a voter of a new group that takes its first start for a loss of its files: it does not vote for
 * seconds, and if the leader fails meanwhile, two of three voters elect none.
 */
class GroupFoundingTest {
    @Example
    void completesOnceAllOthersHaveStoredTheirState() {
        var founding = new GroupFounding(List.of("a", "b"), true);
        founding.onTermResponse("a", GroupFounding.NO_STORED_STATE);
        assertEquals(Set.of("a", "b"), founding.unconfirmedVoters());
        founding.onTermResponse("a", 0);
        assertFalse(founding.isComplete());
        founding.onTermResponse("b", 0);
        assertTrue(founding.isComplete());
    }

    @Example
    void completesByTermOrMessageOfStartedVoter() {
        var byTerm = new GroupFounding(List.of("a", "b"), true);
        byTerm.onTermResponse("a", 1);
        assertTrue(byTerm.isComplete());
        var byMessage = new GroupFounding(List.of("a", "b"), true);
        byMessage.onRaftMessage();
        assertTrue(byMessage.isComplete());
        assertTrue(new GroupFounding(List.of("a", "b"), false).isComplete());
    }

    @Example
    void electsOneLeaderInEveryOrderOfStartsRestartsAndOneLossOfThreeVoters() {
        assertTrue(explore(new FoundingModel(3, 1, 1, 0)) > 1_000);
        assertTrue(explore(new FoundingModel(3, 1, 0, 1)) > 1_000);
    }

    @Property(tries = 300)
    void electsOneLeaderOfFiveVotersWithTwoLosses(@ForAll long seed) {
        var random = new Random(seed);
        var model = new FoundingModel(5, 3, 4, 2);
        for (int i = 0; i < 250; i++) {
            List<FoundingModel.Step> steps = model.steps();
            if (steps.isEmpty()) {
                break;
            }
            model.perform(steps.get(random.nextInt(steps.size())));
            check(model, 3);
        }
    }

    /** Checks all states that are reachable, and returns their number. */
    private static int explore(FoundingModel initial) {
        var seen = new HashSet<String>();
        var open = new ArrayDeque<FoundingModel>();
        open.add(initial);
        seen.add(initial.key());
        while (!open.isEmpty()) {
            FoundingModel state = open.remove();
            check(state, 1);
            for (FoundingModel.Step step : state.steps()) {
                FoundingModel next = state.copy();
                next.perform(step);
                if (seen.add(next.key())) {
                    open.add(next);
                }
            }
        }
        return seen.size();
    }

    /** Checks that no term has two leaders, and that any majority can elect one once there was a leader. */
    private static void check(FoundingModel state, int maxTerm) {
        for (int term = 1; term <= maxTerm; term++) {
            assertTrue(state.leadersIn(term) <= 1, () -> "two leaders of a term: " + state.key());
        }
        if (!state.hadLeader()) {
            return;
        }
        for (int majority : state.intactMajorities()) {
            FoundingModel alone = state.copy();
            alone.runAlone(majority);
            for (int voter = 0; voter < Integer.SIZE; voter++) {
                if ((majority >> voter & 1) != 0) {
                    assertTrue(alone.canVote(voter), "voter " + voter + " does not vote: " + alone.key());
                }
            }
        }
    }
}
