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

/** The life of a device's query, rule by rule, on a hand-turned clock. */
public class IdempotentRequestsTest {
    static final long SECOND = 1_000_000;
    static final long START = 1_800_000_000L * SECOND;
    static final IdempotencyLimits RULES = new IdempotencyLimits(5 * SECOND, 600 * SECOND, 3600 * SECOND, SECOND,
            60 * SECOND, 4, 10, 8,
            64 * 1024, 16 * 1024, 2048, 100, 1000, 10, SECOND, 30 * SECOND);
    private static final BodyDigest BODY = new BodyDigest(1, 2, 3);

    private final IdempotentRequests requests = new IdempotentRequests(RULES, START);
    private long now = START + 10 * SECOND;
    private int numbers;

    /** An id of version 7 that was made then. */
    static String id(long micros, int number) {
        return new UUID((micros / 1000) << 16 | 0x7000 | (number >>> 16 & 0xfff), 0x8000_0000_0000_0000L | number)
                .toString();
    }

    private IdempotencyKey key(String device) {
        return new IdempotencyKey(device, id(now, ++numbers));
    }

    private static StoredOutcome outcome(int bytes) {
        return new StoredOutcome(OutcomeKind.COMPLETE, 0, new byte[bytes]);
    }

    private RequestRecord run(IdempotencyKey key, boolean mayRepeat) {
        return ((RequestDecision.Execute) requests.submit(now, key, BODY, mayRepeat)).request();
    }

    @Test
    public void askedAgainItAttachesOrGetsTheSameOutcome() {
        IdempotencyKey key = key("d");
        RequestRecord e = run(key, false);
        assertSame(e, ((RequestDecision.Attach) requests.submit(now, key, BODY, false)).request());
        assertTrue(requests.submit(now, key, new BodyDigest(1, 2, 4), false) instanceof RequestDecision.Conflict);
        assertTrue("another device's id is another query",
                requests.outcome(now, new IdempotencyKey("x", key.id()), true) instanceof RequestDecision.Unknown);
        StoredOutcome first = outcome(10);
        assertSame(first, requests.completed(now, e, first));
        assertSame("only the first counts", first, requests.completed(now, e, outcome(11)));
        assertSame(first, ((RequestDecision.Replay) requests.submit(now, key, BODY, false)).outcome());
        assertSame(first, ((RequestDecision.Replay) requests.outcome(now, key, true)).outcome());
        assertTrue(requests.submit(now, key, new BodyDigest(0, 0, 0), false) instanceof RequestDecision.Conflict);
    }

    @Test
    public void aLostLinkCancelsOnlyWhatMayRepeat() {
        RequestRecord once = run(key("d"), false);
        IdempotencyKey key = key("d");
        RequestRecord free = run(key, true);
        requests.waiterLeft(now, once);
        requests.waiterLeft(now, free);
        now += 4 * SECOND;
        assertEquals(List.of(), requests.expire(now));
        assertTrue(requests.submit(now, key, BODY, true) instanceof RequestDecision.Attach);
        now += 2 * SECOND;
        assertEquals("somebody waits again", List.of(), requests.expire(now));
        requests.waiterLeft(now, free);
        now += 5 * SECOND;
        assertEquals(List.of(free), requests.expire(now));
        assertEquals("told once", List.of(), requests.expire(now + 60 * SECOND));
        requests.cancelled(now, free);
        assertTrue("it may be asked again", requests.submit(now, key, BODY, true) instanceof RequestDecision.Execute);
    }

    @Test
    public void whatMayNotRepeatIsNeverRunAgainHoweverLateItIsAsked() {
        IdempotencyKey key = key("d");
        requests.completed(now, run(key, false), outcome(10));
        now += 3599 * SECOND;
        requests.expire(now);
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Replay);
        now += 10 * SECOND;
        requests.expire(now);
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Expired);
        assertTrue(requests.outcome(now, key, true) instanceof RequestDecision.Expired);
        IdempotentRequests restarted = new IdempotentRequests(RULES, now);
        IdempotencyKey before = new IdempotencyKey("d", id(now - SECOND, 1));
        assertTrue("it may have run in a life that nothing is known of",
                restarted.submit(now, before, BODY, false) instanceof RequestDecision.Expired);
        now += 5 * SECOND;
        assertTrue(restarted.submit(now, key("d"), BODY, false) instanceof RequestDecision.Execute);
        assertTrue("an id must tell its age",
                requests.submit(now, new IdempotencyKey("d", "mine"), BODY,
                        false) instanceof RequestDecision.InvalidKey);
        assertTrue("and not lie",
                requests.submit(now, new IdempotencyKey("d", id(now + 2 * SECOND, 1)), BODY,
                        false) instanceof RequestDecision.InvalidKey);
        assertTrue("what may repeat has any id",
                requests.submit(now, new IdempotencyKey("d", "mine"), BODY, true) instanceof RequestDecision.Execute);
    }

    @Test
    public void whatMayRepeatIsEvictedFirstAndWhatMayNotNeverBeforeItsWindow() {
        var once = new ArrayList<IdempotencyKey>();
        var free = new ArrayList<IdempotencyKey>();
        for (int i = 0; i < 4; i++) {
            once.add(key("d"));
            free.add(key("d"));
            requests.completed(now, run(once.get(i), false), outcome(1000));
            requests.completed(now, run(free.get(i), true), outcome(1000));
        }
        for (int i = 0; i < 4; i++) { // eight are kept of a device: the free ones make room, the first first
            IdempotencyKey key = key("d");
            once.add(key);
            requests.completed(now, run(key, false), outcome(1000));
            assertTrue(requests.outcome(now, free.get(i), true) instanceof RequestDecision.Unknown);
        }
        var no = (RequestDecision.Reject) requests.submit(now, key("d"), BODY, false);
        assertEquals(RequestDecision.RejectionReason.DEVICE_QUOTA_EXCEEDED, no.reason());
        assertTrue(no.retryAfter() >= SECOND && no.retryAfter() <= 30 * SECOND);
        once.forEach(k -> assertTrue(requests.outcome(now, k, true) instanceof RequestDecision.Replay));
        assertTrue("others are not harmed",
                requests.submit(now, key("x"), BODY, false) instanceof RequestDecision.Execute);
    }

    @Test
    public void openQueriesAreBoundedAndOneThatHammersIsHeldOffAlone() {
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
        IdempotencyKey known = key("h");
        int held = 0;
        for (int i = 0; i < 3000; i++) {
            held += requests.outcome(now, known, false) instanceof RequestDecision.Reject r
                    && r.reason() == RequestDecision.RejectionReason.RATE_LIMITED ? 1 : 0;
        }
        assertEquals(2000, held);
        assertTrue(requests.outcome(now, key("i"), false) instanceof RequestDecision.Unknown);
        now += 60 * SECOND;
        assertTrue("hammering is forgiven after a while",
                requests.outcome(now, known, false) instanceof RequestDecision.Unknown);
    }

    @Test
    public void thoseTurnedAwayComeBackSpread() {
        var rules = new IdempotencyLimits(5 * SECOND, 600 * SECOND, 3600 * SECOND, SECOND, 60 * SECOND, 4, 10, 8,
                64 * 1024,
                16 * 1024,
                2048, 100, 1000, 40, SECOND, 30 * SECOND);
        var full = new IdempotentRequests(rules, START);
        for (int i = 0; i < 10; i++) {
            assertTrue(full.submit(now, key("x" + i), BODY, true) instanceof RequestDecision.Execute);
        }
        var slots = new java.util.TreeMap<Long, Integer>();
        for (int i = 0; i < 1000; i++) { // a thousand devices within one second of an outage's end
            now += 1_000;
            var no = (RequestDecision.Reject) full.submit(now, key("c" + i), BODY, true);
            slots.merge((now + no.retryAfter()) / SECOND, 1, Integer::sum);
        }
        assertTrue("over many seconds: " + slots, slots.size() >= 25);
        assertTrue("not more a second than asked for: " + slots, slots.values().stream().allMatch(n -> n <= 41));
    }

    @Test
    public void aDeviceWithTenThousandIdsCostsNoMoreThanItsShareAndNobodyElse() {
        IdempotencyKey other = key("x");
        StoredOutcome kept = requests.completed(now, run(other, true), outcome(100));
        int turnedAway = 0;
        for (int i = 0; i < 10_000; i++) {
            now += 20_000;
            RequestDecision d = requests.submit(now, key("d"), BODY, i % 100 == 0 && i < 300);
            if (d instanceof RequestDecision.Execute run) {
                requests.completed(now, run.request(), outcome(500));
            } else {
                turnedAway++;
                assertTrue("" + d, d instanceof RequestDecision.Reject);
            }
            assertTrue(
                    requests.usage().retained() <= RULES.maxRetainedPerDevice() + 1
                            && requests.usage().bytes() <= 17 * 1024);
        }
        assertTrue("holds fill its share until their window is over: " + turnedAway, turnedAway > 9_900);
        assertSame(kept, ((RequestDecision.Replay) requests.outcome(now, other, true)).outcome());
    }

    @Test
    public void aBodyComesInPiecesInAnyStateOfRepair() {
        IdempotencyKey key = key("d");
        byte[] body = "0123456789abcdef".getBytes(UTF_8);
        assertEquals(new RequestDecision.AwaitChunk(0), piece(key, body, 4, 8, 16));
        assertEquals(new RequestDecision.AwaitChunk(6), piece(key, body, 0, 6, 16));
        assertEquals("again, and more of it", new RequestDecision.AwaitChunk(8), piece(key, body, 4, 8, 16));
        assertEquals("a hole", new RequestDecision.AwaitChunk(8), piece(key, body, 10, 16, 16));
        assertEquals(new RequestDecision.AwaitChunk(8), requests.outcome(now, key, true));
        byte[] other = "01234567XXXXXXXX".getBytes(UTF_8);
        assertEquals(new RequestDecision.AwaitChunk(12), piece(key, other, 8, 12, 16));
        assertEquals("another body is not mixed with the first", new RequestDecision.AwaitChunk(0),
                piece(key, body, 8, 16, 16));
        assertEquals(new RequestDecision.AwaitChunk(12), piece(key, body, 0, 12, 16));
        assertArrayEquals(body, ((RequestDecision.UploadComplete) piece(key, body, 12, 16, 16)).body());
        assertTrue(requests.submit(now, key, BODY, false) instanceof RequestDecision.Execute);
        IdempotencyKey never = key("d");
        piece(never, body, 0, 6, 16);
        now += 61 * SECOND;
        requests.expire(now);
        assertTrue("never finished", requests.outcome(now, never, true) instanceof RequestDecision.Unknown);
        assertTrue(piece(key("e"), new byte[10], 0, 10, 100_000) instanceof RequestDecision.InvalidKey);
    }

    private RequestDecision piece(IdempotencyKey key, byte[] body, int from, int to, int total) {
        return requests.uploadChunk(now, key, from, java.util.Arrays.copyOfRange(body, from, to), total, to == total);
    }

    @Test
    public void whatIsOverIsForgottenWholly() {
        for (int i = 0; i < 8; i++) {
            requests.completed(now, run(key("d" + i), i % 2 == 0), outcome(100));
        }
        now += 2 * 3600 * SECOND;
        requests.expire(now);
        assertEquals(new IdempotentRequests.Usage(0, 0, 0, 0), requests.usage());
    }
}
