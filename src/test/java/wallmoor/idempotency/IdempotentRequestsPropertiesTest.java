package wallmoor.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What holds over any interleaving of askings, lost links, ends, time and restarts. */
class IdempotentRequestsPropertiesTest {
    private static final long SECOND = IdempotentRequestsTest.SECOND;
    private static final IdempotencyLimits RULES = new IdempotencyLimits(5 * SECOND, 60 * SECOND, 300 * SECOND, SECOND,
            20 * SECOND, 3, 6, 5,
            12 * 1024, 6 * 1024, 1024, 50, 200, 10, SECOND, 30 * SECOND);

    private record Happening(int kind, int query, int size, int after) {}

    /** Ten queries of three devices; the even ones may not repeat. */
    private static final class World {
        IdempotentRequests requests = new IdempotentRequests(RULES, IdempotentRequestsTest.START);
        long now = IdempotentRequestsTest.START + 5 * SECOND;
        final IdempotencyKey[] keys = new IdempotencyKey[10];
        final int[] runs = new int[10];
        final long[] madeAt = new long[10];
        final Map<Integer, RequestRecord> out = new HashMap<>();
        final Map<Integer, Integer> waiting = new HashMap<>();
        final Map<Integer, StoredOutcome> ended = new HashMap<>();

        void happen(Happening h) {
            int i = h.query;
            boolean mayRepeat = i % 2 == 1;
            if (keys[i] == null) {
                madeAt[i] = now;
                keys[i] = new IdempotencyKey("d" + i % 3, IdempotentRequestsTest.id(now, i));
            }
            switch (h.kind) {
                case 0, 1, 2, 3 -> {
                    RequestDecision d = requests.submit(now, keys[i], new BodyDigest(i, 0, 0), mayRepeat);
                    if (d instanceof RequestDecision.Execute run) {
                        runs[i]++;
                        assertTrue(mayRepeat || runs[i] == 1, "run twice");
                        assertTrue(!out.containsKey(i), "a second copy out");
                        out.put(i, run.request());
                        waiting.put(i, 1);
                    } else if (d instanceof RequestDecision.Attach a) {
                        assertSame(out.get(i), a.request());
                        waiting.merge(i, 1, Integer::sum);
                    } else if (d instanceof RequestDecision.Replay r) {
                        assertSame(ended.get(i), r.outcome(), "not the outcome it had");
                    }
                    kept(i, mayRepeat, d);
                }
                case 4 -> {
                    if (out.containsKey(i) && waiting.get(i) > 0) {
                        waiting.merge(i, -1, Integer::sum);
                        requests.waiterLeft(now, out.get(i));
                    }
                }
                case 5, 6 -> {
                    if (out.containsKey(i)) {
                        var outcome = new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[h.size]);
                        ended.put(i, requests.completed(now, out.remove(i), outcome));
                    }
                }
                case 7 -> {
                    if (out.containsKey(i)) {
                        RequestDecision d = requests.submit(now, keys[i], new BodyDigest(i, 1, 0), mayRepeat);
                        assertTrue(d instanceof RequestDecision.Conflict || d instanceof RequestDecision.Reject,
                                "another body: " + d);
                    }
                }
                case 8 -> requests.uploadChunk(now, new IdempotencyKey("d" + i % 3, "up" + i), 0, new byte[h.size],
                        1024, false);
                default -> {
                    if (h.size > 1000) { // a restart: all that was known is lost, what was out may have run
                        requests = new IdempotentRequests(RULES, now);
                        out.clear();
                        ended.clear();
                    }
                }
            }
            now += h.after * SECOND;
            for (RequestRecord e : requests.expire(now)) {
                int q = out.entrySet().stream().filter(x -> x.getValue() == e).findFirst().orElseThrow().getKey();
                assertTrue(q % 2 == 1 && waiting.get(q) == 0, "cancelled though it may not repeat, or is waited for");
                out.remove(q);
                requests.cancelled(now, e);
            }
            IdempotentRequests.Usage held = requests.usage();
            assertTrue(held.bytes() <= RULES.maxRetainedBytes() && held.open() <= RULES.maxOpen(), "" + held);
        }

        /** What may not repeat keeps its outcome for its window: it is replayed, and refused at most for hammering. */
        private void kept(int i, boolean mayRepeat, RequestDecision d) {
            if (!mayRepeat && ended.containsKey(i) && now < madeAt[i] + RULES.deduplicationWindow()) {
                assertTrue(d instanceof RequestDecision.Replay || (d instanceof RequestDecision.Reject r
                        && r.reason() == RequestDecision.RejectionReason.RATE_LIMITED),
                        "outcome lost before its window: " + d);
            }
        }
    }

    @Provide
    Arbitrary<List<Happening>> happenings() {
        return Combinators.combine(Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, 9),
                Arbitraries.integers().between(0, 1024), Arbitraries.of(0, 0, 0, 0, 1, 2, 6, 70)).as(Happening::new)
                .list().ofMinSize(5).ofMaxSize(60);
    }

    @Property(tries = 3000)
    void whatMayNotRepeatRunsOnceAndItsOutcomeIsKept(@ForAll("happenings") List<Happening> all) {
        var world = new World();
        all.forEach(world::happen);
    }

    @Property(tries = 300)
    void nothingIsHeldOfWhatIsOver(@ForAll("happenings") List<Happening> all) {
        var world = new World();
        all.forEach(world::happen);
        new ArrayList<>(world.out.values()).forEach(e -> world.requests.completed(world.now, e,
                new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[1])));
        world.requests.expire(world.now + 1000 * SECOND);
        assertEquals(new IdempotentRequests.Usage(0, 0, 0, 0), world.requests.usage());
    }
}
