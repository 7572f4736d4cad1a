package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wallmoor.decision.GossipMessage.WorkerReport;

/** What gatherers tell each other of workers. */
class GossipExchangeTest {
    private static final long MS = PolicyHarness.MS;

    @Test
    void partsThatOtherGatherersHaveInFlightCountUntilTheyExpire() {
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
        assertEquals("leaf0", harness.workerOf(0), "they have ended");
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.inFlight("leaf2", 5))));
        harness.advance(3_000 * MS);
        harness.actions.clear();
        harness.query(0, 2);
        harness.query(0, 2);
        assertNotEquals(harness.workerOf(0), harness.workerOf(1), "a word that is not renewed fades");
    }

    @Test
    void anotherGatherersEjectionIsAHintThatAnOwnAnswerOutweighs() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        harness.receiveGossip(1, GossipMessage.write(List.of(WorkerReport.ejected("leaf0"))));
        harness.query(0, 0);
        harness.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1"), List.of(harness.workerOf(0), harness.workerOf(1)));
        for (int i = 0; i < 6; i++) {
            harness.query(0, 0);
        }
        assertTrue(harness.actions("startAttempt").stream().anyMatch(s -> s.endsWith("leaf0")),
                "a hint only, not a bar");
        String[] tried = harness.actions("startAttempt").stream().filter(s -> s.endsWith("leaf0")).findFirst().get()
                .split(" ");
        harness.advance(50 * MS);
        harness.endAttempt(tried[1], 0, "leaf0", AttemptEndReason.OK, 50 * MS);
        harness.actions.clear();
        harness.query(0, 0);
        assertEquals("leaf0", harness.workerOf(0), "it has answered this gatherer since");
    }

    @Test
    void ownPartsAndAnswersAreGossiped() {
        var harness = new PolicyHarness(PolicyHarness.SiteSettings.withGossip()).workers(12);
        String q = harness.query(0, 0);
        harness.advance(400 * MS);
        var sent = GossipMessage.readReports(harness.broadcasts.get(0));
        assertEquals(List.of(WorkerReport.inFlight(harness.workerOf(0), 1)), sent);
        harness.endAttempt(q + "/0", 0, harness.workerOf(0), AttemptEndReason.OK, 400 * MS);
        var last = GossipMessage.readReports(harness.broadcasts.get(harness.broadcasts.size() - 1));
        assertTrue(
                last.stream().anyMatch(e -> e.isLatency() && e.tag() == GossipMessage.workerTag(harness.workerOf(0))));
    }

    @Test
    void oddMessagesAndUnknownGatherersChangeNothing() {
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
        assertTrue(GossipMessage.readReports(new byte[] {9, 1, 2}).isEmpty(), "another kind");
        assertTrue(GossipMessage.readReports(new byte[] {2, 1}).isEmpty(), "half an entry");
    }
}
