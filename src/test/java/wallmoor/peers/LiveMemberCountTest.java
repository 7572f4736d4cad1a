package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import wallmoor.peers.LiveMemberCount.GroupPosition;

/**
 * Among how many what is shared is shared: grows at once, shrinks late, and is the configured number without a quorum.
 */
class LiveMemberCountTest {
    private static final long STEADY = 10;
    private static final GroupPosition CONFIGURED = new GroupPosition(9, 7);

    private static GroupView view(boolean quorum, String... names) {
        return new GroupView(1, quorum ? GroupView.PartitionSide.LARGER : GroupView.PartitionSide.SMALLER, names.length,
                9, Arrays.stream(names)
                        .map(n -> new GroupView.Member(n, n, 1,
                                n.endsWith("?") ? GroupView.MemberState.SUSPECTED
                                        : n.endsWith("!") ? GroupView.MemberState.REMOVED
                                                : GroupView.MemberState.ALIVE,
                                0, List.of()))
                        .toList());
    }

    @Example
    void itGrowsAtOnceAndShrinksOnceAllHaveHadTimeToKnow() {
        var count = new LiveMemberCount("b", CONFIGURED, STEADY);
        count.onView(0, view(true, "a", "b", "c"));
        assertEquals(CONFIGURED, count.position(9), "not steady yet");
        assertEquals(new GroupPosition(3, 1), count.position(10));
        count.onView(20, view(true, "a", "aa", "b", "c"));
        assertEquals(new GroupPosition(4, 2), count.position(20));
        count.onView(30, view(true, "a!", "aa", "b", "c"));
        assertEquals(new GroupPosition(4, 2), count.position(39));
        count.onView(39, view(true, "a!", "aa", "b", "c", "d"));
        assertEquals(new GroupPosition(5, 2), count.position(45), "the one that went and the one that came both count");
        assertEquals(new GroupPosition(4, 1), count.position(49));
        count.onView(50, view(false, "aa", "b"));
        assertEquals(CONFIGURED, count.position(500));
        count.onView(600, view(true, "aa", "b", "c", "d"));
        assertEquals(CONFIGURED, count.position(609));
        assertEquals(new GroupPosition(4, 1), count.position(610));
    }

    /** Whatever comes and goes: never fewer than are there, and who has long known the same has another place. */
    @Property(tries = 200, seed = "8")
    void sharesNeverAddUpToMoreThanAll(@ForAll @Size(max = 12) List<@IntRange(min = 1, max = 31) Integer> views) {
        var counts = IntStream.range(0, 5).mapToObj(i -> new LiveMemberCount("m" + i, new GroupPosition(5, i), STEADY))
                .toList();
        long now = 0;
        for (int there : views) {
            now += 1 + there % 12;
            String[] names = IntStream.range(0, 5).filter(i -> (there >> i & 1) != 0).mapToObj(i -> "m" + i)
                    .toArray(String[]::new);
            boolean quorum = names.length > 2;
            double shares = 0;
            for (int i = 0; i < 5; i++) {
                if ((there >> i & 1) != 0) {
                    counts.get(i).onView(now, view(quorum, names));
                    GroupPosition share = counts.get(i).position(now);
                    assertTrue(share.rank() >= 0 && share.rank() < share.memberCount()
                            && share.memberCount() >= names.length);
                    shares += 1.0 / share.memberCount();
                }
            }
            assertTrue(shares <= 1 + 1e-9, there + ": " + shares);
        }
        long later = now + STEADY;
        var places = counts.stream().map(c -> {
            c.onView(later - STEADY, view(true, "m0", "m1", "m2", "m3", "m4"));
            return c.position(later);
        }).toList();
        assertEquals(IntStream.range(0, 5).mapToObj(i -> new GroupPosition(5, i)).toList(), places);
    }
}
