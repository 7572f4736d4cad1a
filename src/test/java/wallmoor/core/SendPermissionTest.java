package wallmoor.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Tests each reason for which an attempt may not be sent. */
public class SendPermissionTest {
    private static final long NOW = 5_000_000;
    private static final String ADDRESS = "10.0.0.1:3000";

    private final Query query = new Query(
            new QueryRequest("q", 0, NOW + 500_000, false, null, List.of(), null), "all", true, Long.MAX_VALUE, null);
    private final Worker worker = new Worker("a");
    private final Attempt attempt = new Attempt(query, new Query.QueryPart("q.0", 0), 0, worker, NOW, NOW + 300_000,
            NOW + 300_000);

    public SendPermissionTest() {
        updateWorker(ADDRESS, WorkerEndpoint.EndpointState.SERVING, false);
    }

    private void updateWorker(String address, WorkerEndpoint.EndpointState state, boolean banned) {
        worker.update(new WorkerEndpoint("a", address, 0, 0, 0, state, 1, 0), banned);
    }

    private SendPermission checkPermission() {
        return attempt.checkPermission(NOW, ADDRESS);
    }

    @Test
    public void grantsPermissionIfNothingForbidsIt() {
        assertEquals(SendPermission.GRANTED, checkPermission());
        assertTrue(SendPermission.GRANTED.granted());
        for (SendPermission other : SendPermission.values()) {
            assertEquals(other == SendPermission.GRANTED, other.granted());
        }
    }

    @Test
    public void rejectsAttemptOnceClientIsMarkedDisconnected() {
        query.clientDisconnected = true;
        assertEquals(SendPermission.CLIENT_DISCONNECTED, checkPermission());
    }

    @Test
    public void rejectsAttemptOfFinishedQuery() {
        query.finalStep = new Step.Fail(false, false);
        assertEquals(SendPermission.QUERY_FINISHED, checkPermission());
    }

    @Test
    public void rejectsCancelledAttempt() {
        attempt.cancelled = true;
        assertEquals(SendPermission.CANCELLED, checkPermission());
    }

    @Test
    public void rejectsAttemptAtDrainingBannedOrRemovedWorker() {
        updateWorker(ADDRESS, WorkerEndpoint.EndpointState.DRAINING, false);
        assertEquals(SendPermission.NOT_SERVING, checkPermission());
        updateWorker(ADDRESS, WorkerEndpoint.EndpointState.SERVING, true);
        assertEquals(SendPermission.NOT_SERVING, checkPermission());
        updateWorker(ADDRESS, WorkerEndpoint.EndpointState.SERVING, false);
        assertEquals(SendPermission.GRANTED, checkPermission());
        worker.markRemoved();
        assertEquals(SendPermission.NOT_SERVING, checkPermission());
    }

    @Test
    public void rejectsConnectionToFormerAddressOfWorker() {
        updateWorker("10.0.0.2:3000", WorkerEndpoint.EndpointState.SERVING, false);
        assertEquals(SendPermission.ADDRESS_CHANGED, checkPermission());
        assertEquals(SendPermission.GRANTED, attempt.checkPermission(NOW, "10.0.0.2:3000"));
    }

    @Test
    public void rejectsAttemptWithLessThanOneMillisecondLeft() {
        assertEquals(SendPermission.GRANTED, attempt.checkPermission(NOW + 299_000, ADDRESS));
        assertEquals(1, attempt.remainingMillis(NOW + 299_000));
        assertEquals(SendPermission.DEADLINE_EXCEEDED, attempt.checkPermission(NOW + 299_001, ADDRESS));
        assertEquals(SendPermission.DEADLINE_EXCEEDED, attempt.checkPermission(NOW + 900_000, ADDRESS));
    }

    @Test
    public void rejectsRetryAtEndOfIdempotencyWindow() {
        var retry = new Attempt(query, new Query.QueryPart("q.0", 0), 1, worker, NOW, NOW + 300_000, NOW + 200_000);
        assertEquals(SendPermission.GRANTED, retry.checkPermission(NOW + 199_999, ADDRESS));
        assertEquals(SendPermission.IDEMPOTENCY_WINDOW_EXPIRED, retry.checkPermission(NOW + 200_000, ADDRESS));
        assertEquals("the deadline is checked first", SendPermission.DEADLINE_EXCEEDED,
                retry.checkPermission(NOW + 300_000, ADDRESS));
    }

    @Test
    public void remainingMillisIsRemainingTimeRoundedDown() {
        for (long now = NOW; now < NOW + 300_000; now += 777) {
            long budget = 1_000 * attempt.remainingMillis(now);
            assertTrue(budget <= attempt.deadline() - now);
            assertFalse(budget < attempt.deadline() - now - 1_000);
        }
    }
}
