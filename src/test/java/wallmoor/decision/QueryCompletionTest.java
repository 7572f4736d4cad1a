package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The end of queries: an answer, a rejection with its Retry-After, or a failure. */
class QueryCompletionTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void endsQueryExactlyOnceBeforeItsDeadline() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        String queryId = harness.query(0, 0, 1);
        harness.advance(3_990 * MS);
        assertEquals(1,
                harness.actions.stream().filter(s -> s.matches("(answer|reject|fail) " + queryId + ".*")).count());
        int sent = harness.actions("startAttempt").size();
        harness.advance(2_000 * MS);
        harness.endAttempt(queryId + "/0", 0, "leaf0", AttemptEndReason.OK, 5_000 * MS);
        assertEquals(sent, harness.actions("startAttempt").size());
        assertEquals(1, harness.actions.stream().filter(s -> s.matches("(answer|reject|fail) .*")).count());
    }

    @Test
    void answersPartiallyOnlyAboveMinimumShareAndNotAsComplete() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(1, 0.5)))
                .workers(12);
        String queryId = harness.query(0, 0, 2, 4, 6);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 10 * MS);
        harness.endAttempt(queryId + "/2", 0, harness.actions("startAttempt").get(1).split(" ")[2], AttemptEndReason.OK,
                10 * MS);
        assertTrue(harness.actions("answer").isEmpty());
        harness.advance(3_990 * MS);
        assertEquals(1, harness.actions("answer").size() + harness.actions("reject").size());
        assertFalse(harness.actions("answer").contains("answer " + queryId + " true"));

        harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(1, 0.5)))
                .workers(12);
        harness.query(0, 0, 2, 4, 6);
        harness.advance(3_990 * MS);
        assertTrue(harness.actions("answer").isEmpty());
    }

    /** Guards against a look-up of one feature that ends at its class's share and then asks the other shards again. */
    @Test
    void sendsEveryPartOfQueryThatNeedsAllAndRepeatsNone() {
        var site = new PolicyHarness.SiteSettings().withOnlyClass(new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000,
                Idempotency.NOT_IDEMPOTENT, 0, 0.6, 0.6, 0.9, 0));
        var harness = new PolicyHarness(site).workers(12);
        String queryId = harness.queryOfEveryPart(0, 2, 4);
        assertEquals(3, harness.actions("startAttempt").size());
        for (int i = 0; i < 2; i++) {
            harness.endAttempt(queryId + "/" + 2 * i, 0, harness.workerOf(i), AttemptEndReason.OK, 10 * MS);
        }
        harness.endAttempt(queryId + "/4", 0, harness.workerOf(2), AttemptEndReason.RESET, 10 * MS);
        assertEquals(List.of("fail " + queryId), harness.actions("fail"), "no part can be answered any more");
        assertEquals(3, harness.actions("startAttempt").size(), "the third part may have run");
    }

    @Test
    void answersQueryThatNeedsAllPartsOnceItIsDecided() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12);
        String queryId = harness.queryOfEveryPart(0, 2, 4);
        harness.policy.onQueryDecided(harness.now, queryId);
        harness.endAttempt(queryId + "/2", 0, harness.workerOf(1), AttemptEndReason.OK, 10 * MS);
        assertEquals(List.of("answer " + queryId + " true"), harness.actions("answer"));
        assertEquals(2, harness.actions("cancelAttempt").size());
    }

    /** Guards against a query that is never complete because its weights are rounded to four digits. */
    @Test
    void answersQueryWhoseWeightsAddUpTo9999() {
        var harness = new PolicyHarness(
                new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.someParts(1, 1)))
                .workers(12);
        String queryId = harness.queryWithWeight(0.3333, 0, 2, 4);
        List<String> attempts = harness.actions("startAttempt");
        for (int i = 0; i < 3; i++) {
            harness.endAttempt(queryId + "/" + 2 * i, 0, attempts.get(i).split(" ")[2], AttemptEndReason.OK, 10 * MS);
        }
        assertEquals(List.of("answer " + queryId + " true"), harness.actions("answer"));
    }

    @Test
    void answersSecondPhaseOnceAllPartsAreAnswered() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()
                .withOnlyClass(new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, 1, 1,
                        0.9, 2)))
                .workers(12);
        String queryId = harness.query(0, 0, 2);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 10 * MS);
        harness.endAttempt(queryId + "/2", 0, harness.actions("startAttempt").get(1).split(" ")[2], AttemptEndReason.OK,
                10 * MS);
        assertEquals(1, harness.actions("answer").size());
        harness.policy.onPartArrived(harness.now, new PartArrived("x", 0, 0, 0.5, Absent.VALUE));
        harness.policy.onPartArrived(harness.now, new PartArrived("y", 0, 2, 0.5, Absent.VALUE));
        harness.policy.onRoundEnd(harness.now);
        assertEquals(4, harness.actions("startAttempt").size());
        harness.endAttempt("x", 0, harness.workerOf(2), AttemptEndReason.OK, 10 * MS);
        assertEquals(1, harness.actions("answer").size());
        harness.endAttempt("y", 0, harness.workerOf(3), AttemptEndReason.OK, 10 * MS);
        assertEquals(List.of("answer q0 true", "answer q0 true"), harness.actions("answer"));
    }

    @Test
    void rejectsQueryWithRetryAfterOnceAttemptsAreUsedUp() {
        var site = new PolicyHarness.SiteSettings();
        site.maxAttempts = 2;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(0, 0, 1);
        for (int i = 0; i < 2; i++) {
            String[] sent = harness.actions("startAttempt").stream().filter(l -> l.contains("/0 ")).toList().get(i)
                    .split(" ");
            harness.endAttempt(queryId + "/0", i, sent[2], AttemptEndReason.ERROR, 2 * MS);
        }
        assertEquals(1, harness.actions("reject " + queryId).size(),
                "the other part is in flight, but the query can't be answered");
        assertTrue(Long.parseLong(harness.actions("reject").get(0).split(" ")[2]) > 0);
    }

    /** Guards against open queries that outlive their gatherer: they end by its last moment, as at their deadline. */
    @Test
    void endsOpenQueriesByTheLimitOfTheirDeadlines() {
        var site = new PolicyHarness.SiteSettings();
        site.classes = List.of(PolicyHarness.SiteSettings.allParts(Idempotency.NOT_IDEMPOTENT),
                PolicyHarness.SiteSettings.someParts(1, 0.5));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String silent = harness.query(0, 0);
        String half = harness.query(1, 2, 4);
        harness.endAttempt(half + "/2", 0, harness.workerOf(2), AttemptEndReason.OK, 2 * MS);
        long latest = harness.now + 300 * MS;
        harness.policy.onDeadlinesLimited(harness.now, latest);
        harness.policy.onRoundEnd(harness.now);
        harness.advance(200 * MS);
        assertEquals(List.of(), harness.actions("fail"), "there is still time");
        harness.advance(latest - harness.now);
        assertEquals(List.of("fail " + silent), harness.actions("fail"));
        assertTrue(harness.actions("answer").contains("answer " + half + " false"), "with the parts that are in");
    }

    @Test
    void omitsRetryAfterWhereThePlatformForbidsIt() {
        var site = new PolicyHarness.SiteSettings();
        site.retryAfter = false;
        var harness = new PolicyHarness(site).completeList();
        String queryId = harness.query(0, 0);
        assertEquals(List.of("reject " + queryId + " 0"), harness.actions("reject"));
    }

    @Test
    void failsQueryWithKeyAfterItsDeduplicationWindow() {
        var site = new PolicyHarness.SiteSettings()
                .withOnlyClass(PolicyHarness.SiteSettings.allParts(Idempotency.WITH_KEY));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(0, 0);
        harness.advance(1_100 * MS);
        for (String line : List.copyOf(harness.actions("startAttempt"))) {
            String[] sent = line.split(" ");
            int number = harness.actions("startAttempt").indexOf(line);
            harness.endAttempt(queryId + "/0", number, sent[2], AttemptEndReason.ERROR, 1_100 * MS);
        }
        assertEquals(List.of("fail " + queryId), harness.actions("fail"), "no further attempt may be sent");
    }

    @Test
    void learnsQueryLatencyFromUnansweredQueries() {
        var site = new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.worthlessWhenLate(0));
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        for (int i = 0; i < 12; i++) {
            String queryId = harness.query(0, 0, 2, 4, 6);
            for (String line : List.copyOf(harness.actions("startAttempt"))) {
                String[] sent = line.split(" ");
                if (sent[1].startsWith(queryId + "/") && !sent[1].endsWith("/6")) {
                    harness.endAttempt(sent[1], 0, sent[2], AttemptEndReason.OK, 500 * MS);
                }
            }
            harness.advance(2_000 * MS);
        }
        harness.actions.clear();
        harness.query(0, 0, 2, 4, 6);
        assertEquals(1, harness.actions("reject").size(), "no query was answered in four times the part latency");
    }

    @Test
    void rejectsMarkedRetryWhoseObjectiveHasPassed() {
        var site = new PolicyHarness.SiteSettings().withOnlyClass(PolicyHarness.SiteSettings.worthlessWhenLate(0));
        site.clientsMarkRetries = true;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        harness.retry(1_900 * MS, 0);
        assertEquals(0, harness.actions("startAttempt").size(), "2.1 s of the client's 4 s have passed");
        assertEquals(1, harness.actions("reject").size());
        harness.retry(3_900 * MS, 0);
        assertEquals(1, harness.actions("startAttempt").size(), "only 0.1 s have passed");
    }
}
