package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Quarantine of queries that crash the workers which execute them. */
class QueryQuarantineTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void quarantinesQueryAfterResetsOfTwoWorkers() {
        var site = new PolicyHarness.SiteSettings();
        site.gossip = true;
        var harness = new PolicyHarness(site).workers(12).warmUp(12);
        String queryId = harness.query(0, 0, 4, 8);
        for (int i = 0; i < 2; i++) {
            String[] sent = harness.actions("startAttempt").get(i).split(" ");
            harness.now += 5 * MS;
            harness.endAttempt(sent[1], 0, sent[2], AttemptEndReason.RESET, 5 * MS * (i + 1));
        }
        assertEquals(1, harness.actions("reject").size());
        assertTrue(harness.actions.contains("broadcast 9"), "the other gatherers are notified to reject it too");
        harness.actions.clear();
        harness.query(0, 0, 4, 8);
        assertTrue(harness.actions("startAttempt").isEmpty());
        assertEquals(1, harness.actions("reject").size());
        harness.query(0, 2, 6, 10);
        assertEquals(1, harness.actions("startAttempt").size(),
                "a query other than " + queryId + " starts with one canary part");
        harness.answerAll(30 * MS);
        assertEquals(3, harness.actions("startAttempt").size(), "the other parts follow the canary's answer");
    }

    @Test
    void sendsNothingAfterAResetUntilAPartIsAnswered() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String queryId = harness.query(0, 0, 3, 6);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.RESET, 80 * MS);
        assertEquals(3, harness.actions("startAttempt").size(), "the shard's other replica gets no attempt yet");
        harness.endAttempt(queryId + "/3", 0, harness.workerOf(1), AttemptEndReason.OK, 90 * MS);
        assertEquals(4, harness.actions("startAttempt").size(),
                "a part was answered, so the query does not crash workers");
    }

    @Test
    void doesNotQuarantineQueryAfterMassCrash() {
        var harness = new PolicyHarness(new PolicyHarness.SiteSettings()).workers(12).warmUp(12);
        String queryId = harness.query(0, 0, 4, 8);
        harness.now += 90 * MS;
        for (int i = 0; i < 2; i++) {
            String[] sent = harness.actions("startAttempt").get(i).split(" ");
            harness.endAttempt(sent[1], 0, sent[2], AttemptEndReason.RESET, 90 * MS);
        }
        harness.endAttempt(queryId + "/8", 0, harness.workerOf(2), AttemptEndReason.OK, 90 * MS);
        assertTrue(harness.actions("reject").isEmpty());
        assertEquals(5, harness.actions("startAttempt").size(),
                "both parts of " + queryId + " go to their other replicas");
    }

    @Test
    void sendsCanaryPartFirstWhileAnotherGathererQuarantines() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12).warmUp(12);
        harness.receiveGossip(1, GossipMessage.write(new GossipMessage.QuarantineNotice(77, 1_000_000)));
        harness.query(0, 0, 4, 8);
        assertEquals(1, harness.actions("startAttempt").size());
        harness.answerAll(100 * MS);
        assertEquals(3, harness.actions("startAttempt").size());
        harness.advance(2_000 * MS);
        harness.actions.clear();
        harness.query(0, 1, 5, 9);
        assertEquals(3, harness.actions("startAttempt").size(), "canary parts end with the quarantine");
    }
}
