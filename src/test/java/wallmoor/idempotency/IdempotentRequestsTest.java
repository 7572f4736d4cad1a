package wallmoor.idempotency;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.junit.Test;
import wallmoor.idempotency.StoredOutcome.OutcomeKind;

/** Tests the life cycle of devices' requests with a manual clock. */
public class IdempotentRequestsTest {
    static final long SECOND_MICROS = 1_000_000;
    static final long START_MICROS = 1_800_000_000L * SECOND_MICROS;
    static final IdempotencyLimits LIMITS = new IdempotencyLimits(5 * SECOND_MICROS, 600 * SECOND_MICROS,
            3600 * SECOND_MICROS, SECOND_MICROS, 60 * SECOND_MICROS, 4, 10, 8, 64 * 1024, 16 * 1024, 2048, 100, 1000,
            10, SECOND_MICROS, 30 * SECOND_MICROS);
    private static final BodyDigest BODY = new BodyDigest(1, 2, 3);

    private final IdempotentRequests requests = new IdempotentRequests(LIMITS, START_MICROS);
    private long now = START_MICROS + 10 * SECOND_MICROS;
    private int lastNumber;

    /** Returns a UUID of version 7 with this creation time. */
    static String id(long micros, int number) {
        return new UUID((micros / 1000) << 16 | 0x7000 | (number >>> 16 & 0xfff), 0x8000_0000_0000_0000L | number)
                .toString();
    }

    private IdempotencyKey key(String device) {
        return new IdempotencyKey(device, id(now, ++lastNumber));
    }

    private static StoredOutcome outcome(int bytes) {
        return new StoredOutcome(OutcomeKind.COMPLETE, 0, new byte[bytes]);
    }

    private RequestRecord run(IdempotencyKey key, boolean mayRepeat) {
        return ((RequestDecision.Execute) requests.submit(now, key, BODY, mayRepeat)).request();
    }

    @Test
    public void attachesToRunningRequestAndReplaysItsFirstOutcome() {
        IdempotencyKey key = key("d");
        RequestRecord request = run(key, false);
        assertSame(request, ((RequestDecision.Attach) requests.submit(now, key, BODY, false)).request());
        assertTrue(requests.submit(now, key, new BodyDigest(1, 2, 4), false) instanceof RequestDecision.Conflict);
        assertTrue("the same id of another device is another request",
                requests.outcome(now, new IdempotencyKey("x", key.id()), true) instanceof RequestDecision.Unknown);
        StoredOutcome first = outcome(10);
        assertSame(first, requests.completed(now, request, first));
        assertSame("only the first counts", first, requests.completed(now, request, outcome(11)));
        assertSame(first, ((RequestDecision.Replay) requests.submit(now, key, BODY, false)).outcome());
        assertSame(first, ((RequestDecision.Replay) requests.outcome(now, key, true)).outcome());
        assertTrue(requests.submit(now, key, new BodyDigest(0, 0, 0), false) instanceof RequestDecision.Conflict);
    }

    @Test
    public void cancelsAbandonedRequestOnlyIfItMayRepeat() {
        RequestRecord nonRepeatable = run(key("d"), false);
        IdempotencyKey key = key("d");
        RequestRecord repeatable = run(key, true);
        requests.waiterLeft(now, nonRepeatable);
        requests.waiterLeft(now, repeatable);
        now += 4 * SECOND_MICROS;
        assertEquals(List.of(), requests.expire(now));
        assertTrue(requests.submit(now, key, BODY, true) instanceof RequestDecision.Attach);
        now += 2 * SECOND_MICROS;
        assertEquals("a device waits again", List.of(), requests.expire(now));
        requests.waiterLeft(now, repeatable);
        now += 5 * SECOND_MICROS;
        assertEquals(List.of(repeatable), requests.expire(now));
        assertEquals("returned only once", List.of(), requests.expire(now + 60 * SECOND_MICROS));
        requests.cancelled(now, repeatable);
        assertTrue("it may be submitted again",
                requests.submit(now, key, BODY, true) instanceof RequestDecision.Execute);
    }

    @Test
    public void neverExecutesNonRepeatableRequestAgainAfterWindowOrRestart() {
        IdempotencyKey key = key("d");
        requests.completed(now, run(key, false), outcome(10));
        now += 3599 * SECOND_MICROS;
        requests.expire(now);
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Replay);
        now += 10 * SECOND_MICROS;
        requests.expire(now);
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Expired);
        assertTrue(requests.outcome(now, key, true) instanceof RequestDecision.Expired);
        IdempotentRequests restarted = new IdempotentRequests(LIMITS, now);
        IdempotencyKey before = new IdempotencyKey("d", id(now - SECOND_MICROS, 1));
        assertTrue("it may have run before the restart",
                restarted.submit(now, before, BODY, false) instanceof RequestDecision.Expired);
        now += 5 * SECOND_MICROS;
        assertTrue(restarted.submit(now, key("d"), BODY, false) instanceof RequestDecision.Execute);
        assertTrue("the id must contain its creation time",
                requests.submit(now, new IdempotencyKey("d", "mine"), BODY,
                        false) instanceof RequestDecision.InvalidKey);
        assertTrue("the creation time must not be in the future",
                requests.submit(now, new IdempotencyKey("d", id(now + 2 * SECOND_MICROS, 1)), BODY,
                        false) instanceof RequestDecision.InvalidKey);
        assertTrue("a repeatable request may have any id",
                requests.submit(now, new IdempotencyKey("d", "mine"), BODY, true) instanceof RequestDecision.Execute);
    }

    @Test
    public void evictsRepeatableOutcomesFirstAndOthersNeverBeforeWindowEnds() {
        var nonRepeatable = new ArrayList<IdempotencyKey>();
        var repeatable = new ArrayList<IdempotencyKey>();
        for (int i = 0; i < 4; i++) {
            nonRepeatable.add(key("d"));
            repeatable.add(key("d"));
            requests.completed(now, run(nonRepeatable.get(i), false), outcome(1000));
            requests.completed(now, run(repeatable.get(i), true), outcome(1000));
        }
        for (int i = 0; i < 4; i++) { // of the eight outcomes of a device, the earliest repeatable one is evicted
            IdempotencyKey key = key("d");
            nonRepeatable.add(key);
            requests.completed(now, run(key, false), outcome(1000));
            assertTrue(requests.outcome(now, repeatable.get(i), true) instanceof RequestDecision.Unknown);
        }
        var rejection = (RequestDecision.Reject) requests.submit(now, key("d"), BODY, false);
        assertEquals(RequestDecision.RejectionReason.DEVICE_QUOTA_EXCEEDED, rejection.reason());
        assertTrue(rejection.retryAfter() >= SECOND_MICROS && rejection.retryAfter() <= 30 * SECOND_MICROS);
        nonRepeatable.forEach(k -> assertTrue(requests.outcome(now, k, true) instanceof RequestDecision.Replay));
        assertTrue("other devices are not affected",
                requests.submit(now, key("x"), BODY, false) instanceof RequestDecision.Execute);
    }

    @Test
    public void limitsOpenRequestsAndRateLimitsOnlyTheExcessiveDevice() {
        for (int i = 0; i < 4; i++) {
            run(key("d"), true);
        }
        assertEquals(RequestDecision.RejectionReason.DEVICE_QUOTA_EXCEEDED,
                ((RequestDecision.Reject) requests.submit(now, key("d"), BODY, true)).reason());
        for (int i = 0; i < 6; i++) {
            run(key("x" + i), true);
        }
        assertEquals(RequestDecision.RejectionReason.CAPACITY_EXCEEDED,
                ((RequestDecision.Reject) requests.submit(now, key("y"), BODY, true)).reason());
        IdempotencyKey knownKey = key("h");
        int rateLimited = 0;
        for (int i = 0; i < 3000; i++) {
            rateLimited += requests.outcome(now, knownKey, false) instanceof RequestDecision.Reject r
                    && r.reason() == RequestDecision.RejectionReason.RATE_LIMITED ? 1 : 0;
        }
        assertEquals(2000, rateLimited);
        assertTrue(requests.outcome(now, key("i"), false) instanceof RequestDecision.Unknown);
        now += 60 * SECOND_MICROS;
        assertTrue("the rate limit ends after a while",
                requests.outcome(now, knownKey, false) instanceof RequestDecision.Unknown);
    }

    @Test
    public void spreadsRetriesOfRejectedDevices() {
        var limits = new IdempotencyLimits(5 * SECOND_MICROS, 600 * SECOND_MICROS, 3600 * SECOND_MICROS, SECOND_MICROS,
                60 * SECOND_MICROS, 4, 10, 8, 64 * 1024, 16 * 1024, 2048, 100, 1000, 40, SECOND_MICROS,
                30 * SECOND_MICROS);
        var full = new IdempotentRequests(limits, START_MICROS);
        for (int i = 0; i < 10; i++) {
            assertTrue(full.submit(now, key("x" + i), BODY, true) instanceof RequestDecision.Execute);
        }
        var slots = new java.util.TreeMap<Long, Integer>();
        for (int i = 0; i < 1000; i++) { // a thousand devices within one second after an outage
            now += 1_000;
            var rejection = (RequestDecision.Reject) full.submit(now, key("c" + i), BODY, true);
            slots.merge((now + rejection.retryAfter()) / SECOND_MICROS, 1, Integer::sum);
        }
        assertTrue("spread over many seconds: " + slots, slots.size() >= 25);
        assertTrue("not more per second than the retry rate: " + slots, slots.values().stream().allMatch(n -> n <= 41));
    }

    @Test
    public void deviceWithManyIdsUsesOnlyItsOwnQuota() {
        IdempotencyKey other = key("x");
        StoredOutcome retained = requests.completed(now, run(other, true), outcome(100));
        int rejected = 0;
        for (int i = 0; i < 10_000; i++) {
            now += 20_000;
            RequestDecision decision = requests.submit(now, key("d"), BODY, i % 100 == 0 && i < 300);
            if (decision instanceof RequestDecision.Execute run) {
                requests.completed(now, run.request(), outcome(500));
            } else {
                rejected++;
                assertTrue("" + decision, decision instanceof RequestDecision.Reject);
            }
            assertTrue(
                    requests.usage().retained() <= LIMITS.maxRetainedPerDevice() + 1
                            && requests.usage().bytes() <= 17 * 1024);
        }
        assertTrue("retained outcomes fill the quota until their window ends: " + rejected, rejected > 9_900);
        assertSame(retained, ((RequestDecision.Replay) requests.outcome(now, other, true)).outcome());
    }

    @Test
    public void assemblesBodyFromRepeatedMissingAndChangedChunks() {
        IdempotencyKey key = key("d");
        byte[] body = "0123456789abcdef".getBytes(UTF_8);
        assertEquals(new RequestDecision.AwaitChunk(0), uploadChunk(key, body, 4, 8, 16));
        assertEquals(new RequestDecision.AwaitChunk(6), uploadChunk(key, body, 0, 6, 16));
        assertEquals("a chunk that overlaps received bytes", new RequestDecision.AwaitChunk(8),
                uploadChunk(key, body, 4, 8, 16));
        assertEquals("a chunk after a gap", new RequestDecision.AwaitChunk(8), uploadChunk(key, body, 10, 16, 16));
        assertEquals(new RequestDecision.AwaitChunk(8), requests.outcome(now, key, true));
        byte[] other = "01234567XXXXXXXX".getBytes(UTF_8);
        assertEquals(new RequestDecision.AwaitChunk(12), uploadChunk(key, other, 8, 12, 16));
        assertEquals("the chunks of two bodies are not mixed", new RequestDecision.AwaitChunk(0),
                uploadChunk(key, body, 8, 16, 16));
        assertEquals(new RequestDecision.AwaitChunk(12), uploadChunk(key, body, 0, 12, 16));
        assertArrayEquals(body, ((RequestDecision.UploadComplete) uploadChunk(key, body, 12, 16, 16)).body());
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Execute);
        IdempotencyKey never = key("d");
        uploadChunk(never, body, 0, 6, 16);
        now += 61 * SECOND_MICROS;
        requests.expire(now);
        assertTrue("an upload that was never completed",
                requests.outcome(now, never, true) instanceof RequestDecision.Unknown);
        assertTrue(uploadChunk(key("e"), new byte[10], 0, 10, 100_000) instanceof RequestDecision.InvalidKey);
    }

    private RequestDecision uploadChunk(IdempotencyKey key, byte[] body, int from, int to, int total) {
        return requests.uploadChunk(now, key, from, java.util.Arrays.copyOfRange(body, from, to), total, to == total);
    }

    @Test
    public void removesExpiredRequestsCompletely() {
        for (int i = 0; i < 8; i++) {
            requests.completed(now, run(key("d" + i), i % 2 == 0), outcome(100));
        }
        now += 2 * 3600 * SECOND_MICROS;
        requests.expire(now);
        assertEquals(new IdempotentRequests.Usage(0, 0, 0, 0), requests.usage());
    }
}
