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
import wallmoor.peers.LiveCount.Share;

/**
 * Among how many what is shared is shared: grows at once, shrinks late, and is the configured number without a quorum.
 */
class LiveCountTest {
    private static final long STEADY = 10;
    private static final Share CONFIGURED = new Share(9, 7);

    private static View view(boolean quorum, String... names) {
        return new View(1, quorum ? View.Standing.LARGER : View.Standing.SMALLER, names.length, 9, Arrays.stream(names)
                .map(n -> new View.Member(n, n, 1,
                        n.endsWith("?") ? View.State.SUSPECTED : n.endsWith("!") ? View.State.REMOVED
                                : View.State.ALIVE,
                        0, List.of()))
                .toList());
    }

    @Example
    void itGrowsAtOnceAndShrinksOnceAllHaveHadTimeToKnow() {
        var count = new LiveCount("b", CONFIGURED, STEADY);
        count.onView(0, view(true, "a", "b", "c"));
        assertEquals(CONFIGURED, count.share(9), "not steady yet");
        assertEquals(new Share(3, 1), count.share(10));
        count.onView(20, view(true, "a", "aa", "b", "c"));
        assertEquals(new Share(4, 2), count.share(20));
        count.onView(30, view(true, "a!", "aa", "b", "c"));
        assertEquals(new Share(4, 2), count.share(39));
        count.onView(39, view(true, "a!", "aa", "b", "c", "d"));
        assertEquals(new Share(5, 2), count.share(45), "the one that went and the one that came both count");
        assertEquals(new Share(4, 1), count.share(49));
        count.onView(50, view(false, "aa", "b"));
        assertEquals(CONFIGURED, count.share(500));
        count.onView(600, view(true, "aa", "b", "c", "d"));
        assertEquals(CONFIGURED, count.share(609));
        assertEquals(new Share(4, 1), count.share(610));
    }

    /** Whatever comes and goes: never fewer than are there, and who has long known the same has another place. */
    @Property(tries = 200, seed = "8")
    void sharesNeverAddUpToMoreThanAll(@ForAll @Size(max = 12) List<@IntRange(min = 1, max = 31) Integer> views) {
        var counts = IntStream.range(0, 5).mapToObj(i -> new LiveCount("m" + i, new Share(5, i), STEADY)).toList();
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
                    Share share = counts.get(i).share(now);
                    assertTrue(share.place() >= 0 && share.place() < share.count() && share.count() >= names.length);
                    shares += 1.0 / share.count();
                }
            }
            assertTrue(shares <= 1 + 1e-9, there + ": " + shares);
        }
        long later = now + STEADY;
        var places = counts.stream().map(c -> {
            c.onView(later - STEADY, view(true, "m0", "m1", "m2", "m3", "m4"));
            return c.share(later);
        }).toList();
        assertEquals(IntStream.range(0, 5).mapToObj(i -> new Share(5, i)).toList(), places);
    }
}
