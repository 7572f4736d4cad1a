package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wallmoor.decision.GossipMessage.WorkerReport;

/** Reports on workers between gatherers. */
class GossipExchangeTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void countsOtherGatherersPartsInFlightUntilReportsExpire() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.inFlight("leaf0", 1))));
        harness.receiveGossip(2, GossipMessage.write(List.of(WorkerReport.inFlight("leaf0", 2))));
        for (int i = 0; i < 3; i++) {
            harness.query(0, 0); // workers 0 and 1 hold shard 0
            assertEquals("leaf1", harness.workerOf(i));
        }
        harness.actions.clear();
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.inFlight("leaf0", 0))));
        harness.receiveGossip(2, GossipMessage.write(List.of(WorkerReport.inFlight("leaf0", 0))));
        harness.query(0, 0);
        assertEquals("leaf0", harness.workerOf(0), "the other gatherers' parts have ended");
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.inFlight("leaf2", 5))));
        harness.advance(3_000 * MS);
        harness.actions.clear();
        harness.query(0, 2);
        harness.query(0, 2);
        assertNotEquals(harness.workerOf(0), harness.workerOf(1), "a report that is not renewed expires");
    }

    @Test
    void ignoresOtherGatherersEjectionAfterOwnAnswer() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.ejected("leaf0"))));
        harness.query(0, 0);
        harness.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1"), List.of(harness.workerOf(0), harness.workerOf(1)));
        for (int i = 0; i < 6; i++) {
            harness.query(0, 0);
        }
        assertTrue(harness.actions("startAttempt").stream().anyMatch(s -> s.endsWith("leaf0")),
                "another gatherer's ejection does not exclude the worker");
        String[] attemptAtEjected = harness.actions("startAttempt").stream()
                .filter(s -> s.endsWith("leaf0")).findFirst().get().split(" ");
        harness.advance(50 * MS);
        harness.endAttempt(attemptAtEjected[1], 0, "leaf0", AttemptEndReason.OK, 50 * MS);
        harness.actions.clear();
        harness.query(0, 0);
        assertEquals("leaf0", harness.workerOf(0), "the worker has answered this gatherer since the report");
    }

    @Test
    void reportsOwnPartsInFlightAndAnswers() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        String queryId = harness.query(0, 0);
        harness.advance(400 * MS);
        var firstReports = GossipMessage.readReports(harness.broadcasts.get(0));
        assertEquals(List.of(WorkerReport.inFlight(harness.workerOf(0), 1)), firstReports);
        harness.endAttempt(queryId + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 400 * MS);
        var lastReports = GossipMessage.readReports(harness.broadcasts.get(harness.broadcasts.size() - 1));
        assertTrue(
                lastReports.stream().anyMatch(report -> report.isLatency()
                        && report.tag() == GossipMessage.workerTag(harness.workerOf(0))));
    }

    @Test
    void ignoresMalformedMessagesAndUnknownGatherers() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        var random = new Random(4);
        for (int length = 0; length < 300; length++) {
            var noise = new byte[length];
            random.nextBytes(noise);
            harness.receiveGossip(length % 9 - 2, noise);
        }
        harness.receiveGossip(99,
                GossipMessage.write(List.of(WorkerReport.ejected("leaf0"), WorkerReport.inFlight("nowhere", 3))));
        harness.query(0, 0);
        assertEquals(1, harness.actions("startAttempt").size());
        assertTrue(GossipMessage.readReports(new byte[] {9, 1, 2}).isEmpty(), "unknown message kind");
        assertTrue(GossipMessage.readReports(new byte[] {2, 1}).isEmpty(), "incomplete report");
    }
}
