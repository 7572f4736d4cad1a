package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Retries and hedged requests, and the rules that they keep: each test fails without its guard. */
class RetryPolicyTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void anUnsentPartReplacesAFailedOneWithoutAFurtherAttempt() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6))).workers(12);
        String q = harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int before = harness.actions("startAttempt").size();
        String[] first = harness.actions("startAttempt").get(0).split(" ");
        harness.endAttempt(first[1], 0, first[2], AttemptEndReason.ERROR, 5 * MS);
        for (int i = 0; i < before - 6; i++) { // spares asked make up for the first failures
            String[] next = harness.actions("startAttempt").get(i + 1).split(" ");
            harness.endAttempt(next[1], 0, next[2], AttemptEndReason.ERROR, 5 * MS);
        }
        var parts = harness.actions("startAttempt").stream().map(s -> s.split(" ")[1]).toList();
        assertEquals(before + 1, parts.size());
        assertEquals(parts.size(), parts.stream().distinct().count(), "no part of " + q + " twice");
    }

    @Test
    void aPartThatIsOverIsNotSentAgain() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        String q = harness.query(0, 0, 2);
        harness.policy.onAttemptEnded(harness.now,
                new AttemptEnded(q + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 5 * MS,
                        true, Map.of()));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(2, harness.actions("startAttempt").size());
        assertEquals(1, harness.actions("reject").size(), "given up at once: no complete answer can come any more");
    }

    @Test
    void aNonIdempotentPartIsRetriedOnlyWhenItNeverRan() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()
                .onlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.NOT_IDEMPOTENT))).workers(12);
        String q = harness.query(0, 0);
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.CONNECT_FAILED, 5 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        harness.endAttempt(q + "/0", 1, harness.workerOf(1), AttemptEndReason.ERROR, 5 * MS);
        harness.advance(3_990 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertTrue(harness.actions("reject").isEmpty(), "a rejection would promise that it never ran");
        assertEquals(1, harness.actions("fail").size());
    }

    @Test
    void aPartWithAKeyIsRetriedStrictlyInsideItsWindow() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        String early = harness.query(0, 0);
        harness.now += 500 * MS;
        harness.endAttempt(early + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());

        harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        String late = harness.query(0, 0);
        harness.now += 1_000 * MS;
        harness.endAttempt(late + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 1_000 * MS);
        harness.advance(500 * MS);
        assertEquals(1, harness.actions("startAttempt").size());
    }

    /** It may wait for a connection: the time by which it begins counts from when the first was decided. */
    @Test
    void aRetryIsGivenTheTimeByWhichItMustBegin() {
        for (Idempotency idempotency : Idempotency.values()) {
            var site = new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(idempotency));
            site.parallelAttempts = false;
            var harness = new PolicyHarness(site).workers(12);
            String q = harness.query(0, 0);
            harness.now += 400 * MS;
            harness.endAttempt(q + "/0", 0, harness.workerOf(0),
                    idempotency == Idempotency.NOT_IDEMPOTENT ? AttemptEndReason.CONNECT_FAILED
                            : AttemptEndReason.ERROR,
                    400 * MS);
            assertEquals(2, harness.actions("startAttempt").size());
            assertEquals(List.of(Long.MAX_VALUE,
                    idempotency == Idempotency.WITH_KEY ? (1_000 - 400) * MS - 2 * PolicyHarness.ROUND
                            : Long.MAX_VALUE),
                    harness.beginWithins);
        }
    }

    /** One that never ran counts no longer: the window is that of the one after it. */
    @Test
    void theWindowOfARetryIsThatOfTheFirstThatMayHaveRun() {
        var site = new PolicyHarness.SiteSettings()
                .onlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY));
        site.parallelAttempts = false;
        var harness = new PolicyHarness(site).workers(12);
        String q = harness.query(0, 0);
        harness.now += 300 * MS;
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.NOT_STARTED, 300 * MS);
        harness.now += 200 * MS;
        harness.endAttempt(q + "/0", 1, harness.workerOf(1), AttemptEndReason.RESET, 200 * MS);
        assertEquals(List.of(Long.MAX_VALUE, Long.MAX_VALUE, (1_000 - 200) * MS - 2 * PolicyHarness.ROUND),
                harness.beginWithins);
    }

    /** A second may be written while the first waits for a connection: then the first is the retry. */
    @Test
    void aFirstThatAHedgeMayOvertakeIsBoundByTheWindowToo() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        harness.query(0, 0);
        assertEquals(List.of(1_000 * MS - 2 * PolicyHarness.ROUND), harness.beginWithins);
    }

    @Test
    void attemptsStayWithinTheLimit() {
        var site = new PolicyHarness.SiteSettings();
        site.maxAttempts = 2;
        var harness = new PolicyHarness(site).workers(12);
        String q = harness.query(0, 0);
        for (int i = 0; i < 5; i++) {
            if (i < harness.actions("startAttempt").size()) {
                harness.endAttempt(q + "/0", i, harness.workerOf(i), AttemptEndReason.REJECTED, 2 * MS);
            }
        }
        harness.advance(500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
    }

    @Test
    void noTwoAttemptsAtOnceWhereForbidden() {
        var site = new PolicyHarness.SiteSettings();
        site.parallelAttempts = false;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String q = harness.query(0, 0);
        harness.advance(1_500 * MS);
        assertEquals(1, harness.actions("startAttempt").size());
        assertEquals(List.of("cancelAttempt " + q + "/0 0"), harness.actions("cancelAttempt"));
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.CANCELLED, 1_500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertNotEquals(harness.workerOf(0), harness.workerOf(1));
    }

    @Test
    void aHedgedRequestGoesElsewhereWhereAllowed() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String q = harness.query(0, 0);
        harness.advance(1_000 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertNotEquals(harness.workerOf(0), harness.workerOf(1));
        harness.endAttempt(q + "/0", 1, harness.workerOf(1), AttemptEndReason.OK, 100 * MS);
        assertEquals(List.of("answer " + q + " true"), harness.actions("answer"));
    }

    @Test
    void retriesStayWithinTheBudget() {
        var site = new PolicyHarness.SiteSettings();
        site.retryBudgetWindow = 10_000_000;
        site.retryBudgetMinimum = 2;
        var harness = new PolicyHarness(site).workers(12);
        for (int i = 0; i < 6; i++) {
            String q = harness.query(0, i);
            harness.endAttempt(q + "/" + i, 0,
                    harness.actions("startAttempt").get(harness.actions("startAttempt").size() - 1).split(" ")[2],
                    AttemptEndReason.ERROR, 2 * MS);
        }
        assertEquals(6 + 2, harness.actions("startAttempt").size());
    }

    @Test
    void aPartOfTheSecondPhaseIsLateAtHalfTheTimeLeft() {
        var site = new PolicyHarness.SiteSettings();
        site.classes.add(PolicyHarness.SiteSettings.worthlessWhenLate(1));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String q = harness.query(1, 0);
        harness.advance(900 * MS);
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 900 * MS);
        harness.policy.onPartArrived(harness.now,
                new PartArrived("x", Long.parseLong(q.substring(1)), 0, 1, Absent.VALUE));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(1, harness.actions("startAttempt x").size());
        harness.advance(520 * MS);
        assertEquals(1, harness.actions("startAttempt x").size());
        harness.advance(60 * MS);
        assertEquals(2, harness.actions("startAttempt x").size(),
                "1.1 s were left when it was sent; else it is late after 2.7 s");
    }

    @Test
    void noAttemptIsSentThatCantEndInTime() {
        var site = new PolicyHarness.SiteSettings().onlyClass(PolicyHarness.SiteSettings.worthlessWhenLate(0));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String q = harness.query(0, 0);
        int sent = harness.actions("startAttempt").size();
        harness.advance(1_990 * MS);
        int before = harness.actions("startAttempt").size();
        for (int i = sent - 1; i < before; i++) {
            harness.endAttempt(q + "/0", i, harness.workerOf(i), AttemptEndReason.ERROR, 1_990 * MS);
        }
        assertEquals(before, harness.actions("startAttempt").size());
        assertEquals(1, harness.actions("reject").size());
    }
}
