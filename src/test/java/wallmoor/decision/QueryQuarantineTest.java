package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Queries that crash the workers which execute them. */
class QueryQuarantineTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void aQueryUnderWhichWorkersResetIsQuarantined() {
        var site = new PolicyHarness.SiteSettings();
        site.gossip = true;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String q = harness.query(0, 0, 4, 8);
        for (int i = 0; i < 2; i++) {
            String[] sent = harness.actions("startAttempt").get(i).split(" ");
            harness.now += 5 * MS;
            harness.endAttempt(sent[1], 0, sent[2], AttemptEndReason.RESET, 5 * MS * (i + 1));
        }
        assertEquals(1, harness.actions("reject").size());
        assertTrue(harness.actions.contains("broadcast 9"), "the others are told to reject it too");
        harness.actions.clear();
        harness.query(0, 0, 4, 8);
        assertTrue(harness.actions("startAttempt").isEmpty());
        assertEquals(1, harness.actions("reject").size());
        harness.query(0, 2, 6, 10);
        assertEquals(1, harness.actions("startAttempt").size(), "one part of another query than " + q + " goes ahead");
        harness.answerAll(30 * MS);
        assertEquals(3, harness.actions("startAttempt").size(), "the others follow its answer");
    }

    @Test
    void afterAResetNothingMoreIsSentUntilAPartHasAnswered() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String q = harness.query(0, 0, 3, 6);
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.RESET, 80 * MS);
        assertEquals(3, harness.actions("startAttempt").size(), "the shard's other replica is not risked yet");
        harness.endAttempt(q + "/3", 0, harness.workerOf(1), AttemptEndReason.OK, 90 * MS);
        assertEquals(4, harness.actions("startAttempt").size(),
                "a part has answered: the query does not crash workers");
    }

    @Test
    void aMassCrashDoesNotCondemnAQuery() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String q = harness.query(0, 0, 4, 8);
        harness.now += 90 * MS;
        for (int i = 0; i < 2; i++) {
            String[] sent = harness.actions("startAttempt").get(i).split(" ");
            harness.endAttempt(sent[1], 0, sent[2], AttemptEndReason.RESET, 90 * MS);
        }
        harness.endAttempt(q + "/8", 0, harness.workerOf(2), AttemptEndReason.OK, 90 * MS);
        assertTrue(harness.actions("reject").isEmpty());
        assertEquals(5, harness.actions("startAttempt").size(), "both parts of " + q + " go to their other replicas");
    }

    @Test
    void aPeersQuarantineMakesOnePartOfEachQueryGoAhead() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12).warmUp(12);
        harness.receiveGossip(1, GossipMessage.write(new GossipMessage.QuarantineNotice(77, 1_000_000)));
        harness.query(0, 0, 4, 8);
        assertEquals(1, harness.actions("startAttempt").size());
        harness.answerAll(100 * MS);
        assertEquals(3, harness.actions("startAttempt").size());
        harness.advance(2_000 * MS);
        harness.actions.clear();
        harness.query(0, 1, 5, 9);
        assertEquals(3, harness.actions("startAttempt").size(), "the alarm ends by itself");
    }
}
