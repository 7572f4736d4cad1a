package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Retries and hedged requests, and the rules that limit them. Each test fails if its rule is not checked. */
class RetryPolicyTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void replacesFailedPartByUnsentOne() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(0.6, 0.6)))
                .workers(12);
        String queryId = harness.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int sentBefore = harness.actions("startAttempt").size();
        String[] first = harness.actions("startAttempt").get(0).split(" ");
        harness.endAttempt(first[1], 0, first[2], AttemptEndReason.ERROR, 5 * MS);
        for (int i = 0; i < sentBefore - 6; i++) { // spare parts make up for the first failures
            String[] next = harness.actions("startAttempt").get(i + 1).split(" ");
            harness.endAttempt(next[1], 0, next[2], AttemptEndReason.ERROR, 5 * MS);
        }
        var parts = harness.actions("startAttempt").stream().map(s -> s.split(" ")[1]).toList();
        assertEquals(sentBefore + 1, parts.size());
        assertEquals(parts.size(), parts.stream().distinct().count(), "no part of " + queryId + " twice");
    }

    @Test
    void sendsFinishedPartNoMore() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        String queryId = harness.query(0, 0, 2);
        harness.policy.onAttemptEnded(harness.now,
                new AttemptEnded(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 5 * MS,
                        true, Map.of()));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(2, harness.actions("startAttempt").size());
        assertEquals(1, harness.actions("reject").size(), "rejected at once, because no complete answer is possible");
    }

    @Test
    void retriesNonIdempotentPartOnlyIfItNeverRan() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()
                .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.NOT_IDEMPOTENT))).workers(12);
        String queryId = harness.query(0, 0);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.CONNECT_FAILED, 5 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        harness.endAttempt(queryId + "/0", 1, harness.workerOf(1), AttemptEndReason.ERROR, 5 * MS);
        harness.advance(3_990 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertTrue(harness.actions("reject").isEmpty(), "a rejection would state that no part was executed");
        assertEquals(1, harness.actions("fail").size());
    }

    @Test
    void retriesPartWithKeyOnlyWithinDeduplicationWindow() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings()
                        .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        String earlyQuery = harness.query(0, 0);
        harness.now += 500 * MS;
        harness.endAttempt(earlyQuery + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());

        harness = new PolicyHarness(
                new PolicyHarness.SiteSettings()
                        .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        String lateQuery = harness.query(0, 0);
        harness.now += 1_000 * MS;
        harness.endAttempt(lateQuery + "/0", 0, harness.workerOf(0), AttemptEndReason.ERROR, 1_000 * MS);
        harness.advance(500 * MS);
        assertEquals(1, harness.actions("startAttempt").size());
    }

    /** Guards against a second execution that no store can recognise: a query without a key in a class with keys. */
    @Test
    void doesNotRetryPartWithoutKeyThatMayHaveRun() {
        var site = new PolicyHarness.SiteSettings()
                .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY));
        var harness = new PolicyHarness(site).workers(12);
        String queryId = harness.queryWithoutKey(0, 0);
        harness.now += 500 * MS;
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.NOT_STARTED, 500 * MS);
        assertEquals(2, harness.actions("startAttempt").size(), "an attempt that never ran is replaced");
        harness.now += 100 * MS;
        harness.endAttempt(queryId + "/0", 1, harness.workerOf(1), AttemptEndReason.ERROR, 100 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertEquals(List.of("fail " + queryId), harness.actions("fail"));
    }

    /**
     * A retry may wait for a connection, so it gets a maximum start delay, counted from the send of the first attempt.
     */
    @Test
    void boundsStartDelayOfRetryWithKey() {
        for (Idempotency idempotency : Idempotency.values()) {
            var site = new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.allParts(idempotency));
            site.parallelAttempts = false;
            var harness = new PolicyHarness(site).workers(12);
            String queryId = harness.query(0, 0);
            harness.now += 400 * MS;
            harness.endAttempt(queryId + "/0", 0, harness.workerOf(0),
                    idempotency == Idempotency.NOT_IDEMPOTENT ? AttemptEndReason.CONNECT_FAILED
                            : AttemptEndReason.ERROR,
                    400 * MS);
            assertEquals(2, harness.actions("startAttempt").size());
            assertEquals(List.of(Long.MAX_VALUE,
                    idempotency == Idempotency.WITH_KEY ? (1_000 - 400) * MS - 2 * PolicyHarness.ROUND_MICROS
                            : Long.MAX_VALUE),
                    harness.maxStartDelays);
        }
    }

    /** An attempt that never ran no longer counts: the window starts at the attempt after it. */
    @Test
    void countsWindowFromFirstAttemptThatMayHaveRun() {
        var site = new PolicyHarness.SiteSettings()
                .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY));
        site.parallelAttempts = false;
        var harness = new PolicyHarness(site).workers(12);
        String queryId = harness.query(0, 0);
        harness.now += 300 * MS;
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.NOT_STARTED, 300 * MS);
        harness.now += 200 * MS;
        harness.endAttempt(queryId + "/0", 1, harness.workerOf(1), AttemptEndReason.RESET, 200 * MS);
        assertEquals(List.of(Long.MAX_VALUE, Long.MAX_VALUE, (1_000 - 200) * MS - 2 * PolicyHarness.ROUND_MICROS),
                harness.maxStartDelays);
    }

    /**
     * A hedged request may be written while the first attempt waits for a connection; the first is then the repetition.
     */
    @Test
    void boundsStartDelayOfFirstAttemptThatAHedgeMayOvertake() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings()
                        .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY)))
                .workers(12);
        harness.query(0, 0);
        assertEquals(List.of(1_000 * MS - 2 * PolicyHarness.ROUND_MICROS), harness.maxStartDelays);
    }

    @Test
    void limitsAttemptsPerPart() {
        var site = new PolicyHarness.SiteSettings();
        site.maxAttempts = 2;
        var harness = new PolicyHarness(site).workers(12);
        String queryId = harness.query(0, 0);
        for (int i = 0; i < 5; i++) {
            if (i < harness.actions("startAttempt").size()) {
                harness.endAttempt(queryId + "/0", i, harness.workerOf(i), AttemptEndReason.REJECTED, 2 * MS);
            }
        }
        harness.advance(500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
    }

    @Test
    void cancelsLateAttemptBeforeRetryWithoutParallelAttempts() {
        var site = new PolicyHarness.SiteSettings();
        site.parallelAttempts = false;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(0, 0);
        harness.advance(1_500 * MS);
        assertEquals(1, harness.actions("startAttempt").size());
        assertEquals(List.of("cancelAttempt " + queryId + "/0 0"), harness.actions("cancelAttempt"));
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.CANCELLED, 1_500 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertNotEquals(harness.workerOf(0), harness.workerOf(1));
    }

    @Test
    void sendsHedgedRequestToAnotherWorker() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String queryId = harness.query(0, 0);
        harness.advance(1_000 * MS);
        assertEquals(2, harness.actions("startAttempt").size());
        assertNotEquals(harness.workerOf(0), harness.workerOf(1));
        harness.endAttempt(queryId + "/0", 1, harness.workerOf(1), AttemptEndReason.OK, 100 * MS);
        assertEquals(List.of("answer " + queryId + " true"), harness.actions("answer"));
    }

    @Test
    void limitsRetriesToTheBudget() {
        var site = new PolicyHarness.SiteSettings();
        site.retryBudgetWindow = 10_000_000;
        site.retryBudgetMinimum = 2;
        var harness = new PolicyHarness(site).workers(12);
        for (int i = 0; i < 6; i++) {
            String queryId = harness.query(0, i);
            harness.endAttempt(queryId + "/" + i, 0,
                    harness.actions("startAttempt").get(harness.actions("startAttempt").size() - 1).split(" ")[2],
                    AttemptEndReason.ERROR, 2 * MS);
        }
        assertEquals(6 + 2, harness.actions("startAttempt").size());
    }

    @Test
    void hedgesSecondPhasePartAfterHalfTheTimeLeft() {
        var site = new PolicyHarness.SiteSettings();
        site.classes.add(PolicyHarness.SiteSettings.worthlessWhenLate(1));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(1, 0);
        harness.advance(900 * MS);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 900 * MS);
        harness.policy.onPartArrived(harness.now,
                new PartArrived("x", Long.parseLong(queryId.substring(1)), 0, 1, Absent.VALUE));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(1, harness.actions("startAttempt x").size());
        harness.advance(520 * MS);
        assertEquals(1, harness.actions("startAttempt x").size());
        harness.advance(60 * MS);
        assertEquals(2, harness.actions("startAttempt x").size(),
                "late after half of the 1.1 s left at its send; otherwise it would be late after 2.7 s");
    }

    @Test
    void sendsNoAttemptWithoutTimeForItsAnswer() {
        var site = new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.worthlessWhenLate(0));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(0, 0);
        int sent = harness.actions("startAttempt").size();
        harness.advance(1_990 * MS);
        int sentBefore = harness.actions("startAttempt").size();
        for (int i = sent - 1; i < sentBefore; i++) {
            harness.endAttempt(queryId + "/0", i, harness.workerOf(i), AttemptEndReason.ERROR, 1_990 * MS);
        }
        assertEquals(sentBefore, harness.actions("startAttempt").size());
        assertEquals(1, harness.actions("reject").size());
    }
}
