package wallmoor.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** What an attempt is asked at the moment of writing, reason by reason. */
public class PermitTest {
    private static final long NOW = 5_000_000;
    private static final String HERE = "10.0.0.1:3000";

    private final Query query = new Query("q", "all", NOW + 500_000, null, null);
    private final Worker worker = new Worker("a");
    private final Attempt attempt = new Attempt(query, new Query.Part("q.0", 0), 0, worker, NOW, NOW + 300_000,
            NOW + 300_000);

    public PermitTest() {
        told(HERE, Member.State.SERVING, false);
    }

    private void told(String address, Member.State state, boolean banned) {
        worker.become(new Member("a", address, 0, 0, 0, state, 1, 0), banned);
    }

    private Permit permit() {
        return attempt.permit(NOW, HERE);
    }

    @Test
    public void itIsGrantedWhereNothingForbidsIt() {
        assertEquals(Permit.GRANTED, permit());
        assertTrue(Permit.GRANTED.granted());
        for (Permit other : Permit.values()) {
            assertEquals(other == Permit.GRANTED, other.granted());
        }
    }

    @Test
    public void aClientThatHasGoneForbidsItBeforeTheGathererHasItsLock() {
        query.clientGone = true;
        assertEquals(Permit.CLIENT_GONE, permit());
    }

    @Test
    public void aFinalAnswerForbidsIt() {
        query.end = new Step.Fail(false, false);
        assertEquals(Permit.QUERY_OVER, permit());
    }

    @Test
    public void anAttemptThatWasCalledOffMayNotBegin() {
        attempt.calledOff = true;
        assertEquals(Permit.CALLED_OFF, permit());
    }

    @Test
    public void aWorkerThatDrainsOrIsGoneOrBannedForbidsIt() {
        told(HERE, Member.State.DRAINING, false);
        assertEquals(Permit.NOT_SERVING, permit());
        told(HERE, Member.State.SERVING, true);
        assertEquals(Permit.NOT_SERVING, permit());
        told(HERE, Member.State.SERVING, false);
        assertEquals(Permit.GRANTED, permit());
        worker.leave();
        assertEquals(Permit.NOT_SERVING, permit());
    }

    @Test
    public void aConnectionToAnAddressThatTheWorkerHadBeforeIsNotWrittenTo() {
        told("10.0.0.2:3000", Member.State.SERVING, false);
        assertEquals(Permit.MOVED, permit());
        assertEquals(Permit.GRANTED, attempt.permit(NOW, "10.0.0.2:3000"));
    }

    @Test
    public void noAttemptBeginsWithLessThanAMillisecondLeft() {
        assertEquals(Permit.GRANTED, attempt.permit(NOW + 299_000, HERE));
        assertEquals(1, attempt.millisLeft(NOW + 299_000));
        assertEquals(Permit.TIME_OVER, attempt.permit(NOW + 299_001, HERE));
        assertEquals(Permit.TIME_OVER, attempt.permit(NOW + 900_000, HERE));
    }

    @Test
    public void aRepeatBeginsStrictlyInsideItsWindow() {
        var repeat = new Attempt(query, new Query.Part("q.0", 0), 1, worker, NOW, NOW + 300_000, NOW + 200_000);
        assertEquals(Permit.GRANTED, repeat.permit(NOW + 199_999, HERE));
        assertEquals(Permit.WINDOW_OVER, repeat.permit(NOW + 200_000, HERE));
        assertEquals("out of time besides", Permit.TIME_OVER, repeat.permit(NOW + 300_000, HERE));
    }

    @Test
    public void theTimeToldIsAtMostWhatIsLeft() {
        for (long at = NOW; at < NOW + 300_000; at += 777) {
            long told = 1_000 * attempt.millisLeft(at);
            assertTrue(told <= attempt.until() - at);
            assertFalse(told < attempt.until() - at - 1_000);
        }
    }
}
