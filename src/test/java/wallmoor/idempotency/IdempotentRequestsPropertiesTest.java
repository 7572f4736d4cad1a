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

/** Invariants in any order of submissions, disconnects, completions, expiry and restarts. */
class IdempotentRequestsPropertiesTest {
    private static final long SECOND_MICROS = IdempotentRequestsTest.SECOND_MICROS;
    private static final IdempotencyLimits LIMITS = new IdempotencyLimits(5 * SECOND_MICROS, 60 * SECOND_MICROS,
            300 * SECOND_MICROS, SECOND_MICROS, 20 * SECOND_MICROS, 3, 6, 5, 12 * 1024, 6 * 1024, 1024, 50, 200, 10,
            SECOND_MICROS, 30 * SECOND_MICROS);

    /** A random event on one request; {@code delaySeconds} passes after it. */
    private record Event(int kind, int request, int bytes, int delaySeconds) {}

    /** Ten requests of three devices; those with an even index may not repeat. */
    private static final class Model {
        IdempotentRequests requests = new IdempotentRequests(LIMITS, IdempotentRequestsTest.START_MICROS);
        long now = IdempotentRequestsTest.START_MICROS + 5 * SECOND_MICROS;
        final IdempotencyKey[] keys = new IdempotencyKey[10];
        final int[] executions = new int[10];
        final long[] createdAt = new long[10];
        final Map<Integer, RequestRecord> running = new HashMap<>();
        final Map<Integer, Integer> waiters = new HashMap<>();
        final Map<Integer, StoredOutcome> outcomes = new HashMap<>();

        void apply(Event event) {
            int index = event.request;
            boolean mayRepeat = index % 2 == 1;
            if (keys[index] == null) {
                createdAt[index] = now;
                keys[index] = new IdempotencyKey("d" + index % 3, IdempotentRequestsTest.id(now, index));
            }
            switch (event.kind) {
                case 0, 1, 2, 3 -> {
                    RequestDecision decision = requests.submit(now, keys[index], new BodyDigest(index, 0, 0),
                            mayRepeat);
                    if (decision instanceof RequestDecision.Execute run) {
                        executions[index]++;
                        assertTrue(mayRepeat || executions[index] == 1, "executed twice");
                        assertTrue(!running.containsKey(index), "executed while it is running");
                        running.put(index, run.request());
                        waiters.put(index, 1);
                    } else if (decision instanceof RequestDecision.Attach attach) {
                        assertSame(running.get(index), attach.request());
                        waiters.merge(index, 1, Integer::sum);
                    } else if (decision instanceof RequestDecision.Replay replay) {
                        assertSame(outcomes.get(index), replay.outcome(), "not the outcome of its completion");
                    }
                    assertOutcomeRetained(index, mayRepeat, decision);
                }
                case 4 -> {
                    if (running.containsKey(index) && waiters.get(index) > 0) {
                        waiters.merge(index, -1, Integer::sum);
                        requests.waiterLeft(now, running.get(index));
                    }
                }
                case 5, 6 -> {
                    if (running.containsKey(index)) {
                        var outcome = new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[event.bytes]);
                        outcomes.put(index, requests.completed(now, running.remove(index), outcome));
                    }
                }
                case 7 -> {
                    if (running.containsKey(index)) {
                        RequestDecision decision = requests.submit(now, keys[index], new BodyDigest(index, 1, 0),
                                mayRepeat);
                        assertTrue(
                                decision instanceof RequestDecision.Conflict
                                        || decision instanceof RequestDecision.Reject,
                                "another body: " + decision);
                    }
                }
                case 8 -> requests.uploadChunk(now, new IdempotencyKey("d" + index % 3, "up" + index), 0,
                        new byte[event.bytes], 1024, false);
                default -> {
                    if (event.bytes > 1000) { // a restart: all state is lost, running requests may have run
                        requests = new IdempotentRequests(LIMITS, now);
                        running.clear();
                        outcomes.clear();
                    }
                }
            }
            now += event.delaySeconds * SECOND_MICROS;
            for (RequestRecord request : requests.expire(now)) {
                int expiredIndex = running.entrySet().stream().filter(x -> x.getValue() == request).findFirst()
                        .orElseThrow().getKey();
                assertTrue(expiredIndex % 2 == 1 && waiters.get(expiredIndex) == 0,
                        "cancelled though it may not repeat or a device waits");
                running.remove(expiredIndex);
                requests.cancelled(now, request);
            }
            IdempotentRequests.Usage usage = requests.usage();
            assertTrue(usage.bytes() <= LIMITS.maxRetainedBytes() && usage.open() <= LIMITS.maxOpen(), "" + usage);
        }

        /** Asserts that the outcome of a non-repeatable request is replayed during its window, if not rate-limited. */
        private void assertOutcomeRetained(int index, boolean mayRepeat, RequestDecision decision) {
            if (!mayRepeat && outcomes.containsKey(index) && now < createdAt[index] + LIMITS.deduplicationWindow()) {
                assertTrue(decision instanceof RequestDecision.Replay || (decision instanceof RequestDecision.Reject r
                        && r.reason() == RequestDecision.RejectionReason.RATE_LIMITED),
                        "outcome lost before its window ended: " + decision);
            }
        }
    }

    @Provide
    Arbitrary<List<Event>> events() {
        return Combinators.combine(Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, 9),
                Arbitraries.integers().between(0, 1024), Arbitraries.of(0, 0, 0, 0, 1, 2, 6, 70)).as(Event::new)
                .list().ofMinSize(5).ofMaxSize(60);
    }

    @Property(tries = 3000)
    void executesNonRepeatableRequestOnceAndRetainsItsOutcome(@ForAll("events") List<Event> all) {
        var model = new Model();
        all.forEach(model::apply);
    }

    @Property(tries = 300)
    void retainsNothingAfterAllRequestsExpired(@ForAll("events") List<Event> all) {
        var model = new Model();
        all.forEach(model::apply);
        new ArrayList<>(model.running.values()).forEach(e -> model.requests.completed(model.now, e,
                new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[1])));
        model.requests.expire(model.now + 1000 * SECOND_MICROS);
        assertEquals(new IdempotentRequests.Usage(0, 0, 0, 0), model.requests.usage());
    }
}
