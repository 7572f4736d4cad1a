package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import wallmoor.peers.UnreachableMembers.SuspectedMember;

/** The classification of members as unreachable by the suspicions of their observers. */
class UnreachableMembersTest {
    private static SuspectedMember suspected(Set<String> by, String... observers) {
        return new SuspectedMember(by, Set.of(observers));
    }

    @Example
    void requiresMoreThanHalfOfObservers() {
        assertEquals(Set.of(), UnreachableMembers.of(Map.of("a", suspected(Set.of("b", "c"), "b", "c", "d", "e"))));
        assertEquals(Set.of("a"),
                UnreachableMembers.of(Map.of("a", suspected(Set.of("b", "c", "d"), "b", "c", "d", "e"))));
    }

    /** Two dead members observe each other; the missing report of one must not count in favour of the other. */
    @Example
    void findsDeadMembersThatObserveEachOther() {
        assertEquals(Set.of("a", "b"), UnreachableMembers.of(Map.of(
                "a", suspected(Set.of("c", "d", "e"), "b", "c", "d", "e"),
                "b", suspected(Set.of("c", "d"), "a", "c", "d", "e"))));
    }

    /** A member that receives nothing suspects all; it is classified first, and its suspicions no longer count. */
    @Example
    void ignoresSuspicionsOfMemberThatSuspectsAll() {
        assertEquals(Set.of("a"), UnreachableMembers.of(Map.of(
                "a", suspected(Set.of("b", "c", "d"), "b", "c", "d"),
                "b", suspected(Set.of("a", "c"), "a", "c", "d"),
                "c", suspected(Set.of("a"), "a", "b", "d"))));
    }
}
