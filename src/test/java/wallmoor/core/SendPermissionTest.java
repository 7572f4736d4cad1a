package wallmoor.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** What an attempt is asked at the moment of writing, reason by reason. */
public class SendPermissionTest {
    private static final long NOW = 5_000_000;
    private static final String HERE = "10.0.0.1:3000";

    private final Query query = new Query("q", "all", NOW + 500_000, null, null);
    private final Worker worker = new Worker("a");
    private final Attempt attempt = new Attempt(query, new Query.QueryPart("q.0", 0), 0, worker, NOW, NOW + 300_000,
            NOW + 300_000);

    public SendPermissionTest() {
        told(HERE, WorkerEndpoint.EndpointState.SERVING, false);
    }

    private void told(String address, WorkerEndpoint.EndpointState state, boolean banned) {
        worker.update(new WorkerEndpoint("a", address, 0, 0, 0, state, 1, 0), banned);
    }

    private SendPermission permit() {
        return attempt.checkPermission(NOW, HERE);
    }

    @Test
    public void itIsGrantedWhereNothingForbidsIt() {
        assertEquals(SendPermission.GRANTED, permit());
        assertTrue(SendPermission.GRANTED.granted());
        for (SendPermission other : SendPermission.values()) {
            assertEquals(other == SendPermission.GRANTED, other.granted());
        }
    }

    @Test
    public void aClientThatHasGoneForbidsItBeforeTheGathererHasItsLock() {
        query.clientDisconnected = true;
        assertEquals(SendPermission.CLIENT_DISCONNECTED, permit());
    }

    @Test
    public void aFinalAnswerForbidsIt() {
        query.finalStep = new Step.Fail(false, false);
        assertEquals(SendPermission.QUERY_FINISHED, permit());
    }

    @Test
    public void anAttemptThatWasCalledOffMayNotBegin() {
        attempt.cancelled = true;
        assertEquals(SendPermission.CANCELLED, permit());
    }

    @Test
    public void aWorkerThatDrainsOrIsGoneOrBannedForbidsIt() {
        told(HERE, WorkerEndpoint.EndpointState.DRAINING, false);
        assertEquals(SendPermission.NOT_SERVING, permit());
        told(HERE, WorkerEndpoint.EndpointState.SERVING, true);
        assertEquals(SendPermission.NOT_SERVING, permit());
        told(HERE, WorkerEndpoint.EndpointState.SERVING, false);
        assertEquals(SendPermission.GRANTED, permit());
        worker.markRemoved();
        assertEquals(SendPermission.NOT_SERVING, permit());
    }

    @Test
    public void aConnectionToAnAddressThatTheWorkerHadBeforeIsNotWrittenTo() {
        told("10.0.0.2:3000", WorkerEndpoint.EndpointState.SERVING, false);
        assertEquals(SendPermission.ADDRESS_CHANGED, permit());
        assertEquals(SendPermission.GRANTED, attempt.checkPermission(NOW, "10.0.0.2:3000"));
    }

    @Test
    public void noAttemptBeginsWithLessThanAMillisecondLeft() {
        assertEquals(SendPermission.GRANTED, attempt.checkPermission(NOW + 299_000, HERE));
        assertEquals(1, attempt.remainingMillis(NOW + 299_000));
        assertEquals(SendPermission.DEADLINE_EXCEEDED, attempt.checkPermission(NOW + 299_001, HERE));
        assertEquals(SendPermission.DEADLINE_EXCEEDED, attempt.checkPermission(NOW + 900_000, HERE));
    }

    @Test
    public void aRepeatBeginsStrictlyInsideItsWindow() {
        var repeat = new Attempt(query, new Query.QueryPart("q.0", 0), 1, worker, NOW, NOW + 300_000, NOW + 200_000);
        assertEquals(SendPermission.GRANTED, repeat.checkPermission(NOW + 199_999, HERE));
        assertEquals(SendPermission.IDEMPOTENCY_WINDOW_EXPIRED, repeat.checkPermission(NOW + 200_000, HERE));
        assertEquals("out of time besides", SendPermission.DEADLINE_EXCEEDED,
                repeat.checkPermission(NOW + 300_000, HERE));
    }

    @Test
    public void theTimeToldIsAtMostWhatIsLeft() {
        for (long at = NOW; at < NOW + 300_000; at += 777) {
            long told = 1_000 * attempt.remainingMillis(at);
            assertTrue(told <= attempt.deadline() - at);
            assertFalse(told < attempt.deadline() - at - 1_000);
        }
    }
}
