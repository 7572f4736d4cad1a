package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import wallmoor.peers.UnreachableMembers.SuspectedMember;

/** Whose word counts no more. */
class UnreachableMembersTest {
    private static SuspectedMember suspected(Set<String> by, String... observers) {
        return new SuspectedMember(by, Set.of(observers));
    }

    @Example
    void halfOfTheObserversIsNotEnough() {
        assertEquals(Set.of(), UnreachableMembers.of(Map.of("a", suspected(Set.of("b", "c"), "b", "c", "d", "e"))));
        assertEquals(Set.of("a"),
                UnreachableMembers.of(Map.of("a", suspected(Set.of("b", "c", "d"), "b", "c", "d", "e"))));
    }

    /** Each of two dead ones is observed by the other, whose silence would vouch for it. */
    @Example
    void deadMembersDontVouchForEachOther() {
        assertEquals(Set.of("a", "b"), UnreachableMembers.of(Map.of(
                "a", suspected(Set.of("c", "d", "e"), "b", "c", "d", "e"),
                "b", suspected(Set.of("c", "d"), "a", "c", "d", "e"))));
    }

    /** One that hears nobody suspects all: it is found out first, and its word goes with it. */
    @Example
    void oneThatSuspectsAllIsFoundOutFirst() {
        assertEquals(Set.of("a"), UnreachableMembers.of(Map.of(
                "a", suspected(Set.of("b", "c", "d"), "b", "c", "d"),
                "b", suspected(Set.of("a", "c"), "a", "c", "d"),
                "c", suspected(Set.of("a"), "a", "b", "d"))));
    }
}
