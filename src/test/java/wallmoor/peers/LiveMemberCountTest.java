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

/** The live member count grows immediately, shrinks after a stable time, and is the configured one without a quorum. */
class LiveMemberCountTest {
    private static final long STABLE_MICROS = 10;
    private static final GroupPosition CONFIGURED = new GroupPosition(9, 7);

    /** Creates a view; a name that ends in "?" is suspected, and one that ends in "!" is removed. */
    private static GroupView view(boolean hasQuorum, String... names) {
        return new GroupView(1, hasQuorum ? GroupView.PartitionSide.LARGER : GroupView.PartitionSide.SMALLER,
                names.length,
                9, Arrays.stream(names)
                        .map(n -> new GroupView.Member(n, n, 1,
                                n.endsWith("?") ? GroupView.MemberState.SUSPECTED
                                        : n.endsWith("!") ? GroupView.MemberState.REMOVED
                                                : GroupView.MemberState.ALIVE,
                                0, List.of()))
                        .toList());
    }

    @Example
    void growsImmediatelyAndShrinksAfterStableTime() {
        var count = new LiveMemberCount("b", CONFIGURED, STABLE_MICROS);
        count.onView(0, view(true, "a", "b", "c"));
        assertEquals(CONFIGURED, count.position(9), "the view is not stable yet");
        assertEquals(new GroupPosition(3, 1), count.position(10));
        count.onView(20, view(true, "a", "aa", "b", "c"));
        assertEquals(new GroupPosition(4, 2), count.position(20));
        count.onView(30, view(true, "a!", "aa", "b", "c"));
        assertEquals(new GroupPosition(4, 2), count.position(39));
        count.onView(39, view(true, "a!", "aa", "b", "c", "d"));
        assertEquals(new GroupPosition(5, 2), count.position(45), "the removed and the added member both count");
        assertEquals(new GroupPosition(4, 1), count.position(49));
        count.onView(50, view(false, "aa", "b"));
        assertEquals(CONFIGURED, count.position(500));
        count.onView(600, view(true, "aa", "b", "c", "d"));
        assertEquals(CONFIGURED, count.position(609));
        assertEquals(new GroupPosition(4, 1), count.position(610));
    }

    /**
     * With random sequences of views, the count is at least the number of present members, so that the shares add up to
     * at most the quota; members with the same stable view have different ranks.
     */
    @Property(tries = 200, seed = "8")
    void sharesNeverExceedQuota(@ForAll @Size(max = 12) List<@IntRange(min = 1, max = 31) Integer> views) {
        var counts = IntStream.range(0, 5)
                .mapToObj(i -> new LiveMemberCount("m" + i, new GroupPosition(5, i), STABLE_MICROS)).toList();
        long now = 0;
        for (int presentMask : views) {
            now += 1 + presentMask % 12;
            String[] names = IntStream.range(0, 5).filter(i -> (presentMask >> i & 1) != 0).mapToObj(i -> "m" + i)
                    .toArray(String[]::new);
            boolean hasQuorum = names.length > 2;
            double shares = 0;
            for (int i = 0; i < 5; i++) {
                if ((presentMask >> i & 1) != 0) {
                    counts.get(i).onView(now, view(hasQuorum, names));
                    GroupPosition position = counts.get(i).position(now);
                    assertTrue(position.rank() >= 0 && position.rank() < position.memberCount()
                            && position.memberCount() >= names.length);
                    shares += 1.0 / position.memberCount();
                }
            }
            assertTrue(shares <= 1 + 1e-9, presentMask + ": " + shares);
        }
        long later = now + STABLE_MICROS;
        var positions = counts.stream().map(c -> {
            c.onView(later - STABLE_MICROS, view(true, "m0", "m1", "m2", "m3", "m4"));
            return c.position(later);
        }).toList();
        assertEquals(IntStream.range(0, 5).mapToObj(i -> new GroupPosition(5, i)).toList(), positions);
    }
}
