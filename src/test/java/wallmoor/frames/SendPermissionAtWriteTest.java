package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Before;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;

/** What happens while a call waits for its connection's writer decides whether it is written. */
public class SendPermissionAtWriteTest extends ConnectionPoolFixture {
    private ManualWorker worker;
    private GatedSocket socket;
    private Query first;
    private ManualWorker.Peer peer;

    /** A connection whose writer stands still in the write of another query's call. */
    @Before
    public void holdTheWriter() throws Exception {
        worker = worker();
        start(worker);
        socket = prepare();
        socket.beforeWrite.shut();
        first = sent("first", ONCE);
        peer = worker.accept();
        socket.beforeWrite.awaitHeld();
    }

    private void goOn() throws Exception {
        socket.beforeWrite.open();
        assertCall("first.0", peer.frame());
    }

    /** Another query's call is the next frame: the one before it was never written. */
    private void assertNotWritten() throws Exception {
        Query last = sent("last", SAFE);
        assertServed(last, "last.0", peer);
    }

    private void finishFirst() throws Exception {
        peer.answer("first.0", "ok");
        assertTrue(pick(first) instanceof Step.Answer);
        assertNothingHeld();
    }

    @Test
    public void aClientThatLeavesWhileTheCallIsQueuedIsNotAskedFor() throws Exception {
        Query query = sent("q", ONCE);
        gatherer.clientDisconnected(query); // and its own thread does not run yet
        goOn();
        assertNotWritten();
        assertTrue("no end of what never began", pick(query) instanceof Step.ClientGone);
        finishFirst();
    }

    @Test
    public void aClientThatLeavesAfterTheWriteHasItsAttemptCalledOff() throws Exception {
        Query query = sent("q", ONCE);
        goOn();
        assertCall("q.0", peer.frame());
        gatherer.clientDisconnected(query);
        cancel(query);
        assertEquals("Xq.0", peer.frame());
        assertTrue(pick(query) instanceof Step.ClientGone);
        finishFirst();
    }

    @Test
    public void whatIsCalledOffWhileQueuedIsNotWrittenNorItsEnd() throws Exception {
        Query query = sent("q", SAFE);
        ManualWorker other = worker();
        gatherer.control().updateEndpoints(false, List.of(member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        pass(700); // late: the module calls it off, and the query's own thread does not run yet
        goOn();
        Step next = pick(query);
        if (next instanceof Step.Cancel cancel) { // the writer has not come to it yet
            links.cancel(cancel);
            next = pick(query);
        }
        links.send((Step.Send) next);
        assertCall("q.0", other.accept().frame());
        assertNothingElseWritten();
    }

    @Test
    public void aDrainThatIsToldWhileTheCallIsQueuedHolds() throws Exception {
        Query query = sent("q", ONCE);
        ManualWorker other = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, worker, WorkerEndpoint.EndpointState.DRAINING),
                member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        goOn();
        send(query); // it never ran: it goes again, though it may run once
        assertCall("q.0", other.accept().frame());
        assertNothingElseWritten();
    }

    private void assertNothingElseWritten() throws Exception {
        peer.answer("first.0", "ok");
        assertTrue(pick(first) instanceof Step.Answer);
        links.close();
        assertEquals("end", peer.frame());
    }

    @Test
    public void aCallForAWorkerThatMovedIsNotWrittenToItsOldAddress() throws Exception {
        Query query = sent("q", ONCE);
        ManualWorker elsewhere = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, elsewhere, WorkerEndpoint.EndpointState.SERVING)));
        goOn();
        send(query); // it never ran: it goes again, though it may run once
        ManualWorker.Peer there = elsewhere.accept();
        assertServed(query, "q.0", there);
        finishFirst();
        assertEquals("the old connection ends once nothing is out on it", "end", peer.frame());
    }

    @Test
    public void aMoveThatIsToldAfterTheWriteLeavesTheAttemptWhereItIs() throws Exception {
        Query query = sent("q", ONCE);
        goOn();
        assertCall("q.0", peer.frame());
        ManualWorker elsewhere = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, elsewhere, WorkerEndpoint.EndpointState.SERVING)));
        peer.answer("q.0", "ok");
        assertTrue(pick(query) instanceof Step.Answer);
        finishFirst();
    }

    @Test
    public void aCallWhoseTimeIsOverBeforeTheWriterComesToItIsNotWritten() throws Exception {
        Query query = sent("q", ONCE);
        clock.addAndGet(GIVE_UP_MICROS - 500); // less than the millisecond that could be told
        goOn();
        assertTrue("once the writer has come to it", pick(query) instanceof Step.FinalStep);
        clock.addAndGet(-GIVE_UP_MICROS / 2);
        assertNotWritten();
    }

    @Test
    public void theTimeToldIsWhatIsLeftWhenTheWriterComesToIt() throws Exception {
        sent("q", ONCE);
        clock.addAndGet(700_000); // while the writer was held up
        goOn();
        assertEquals((GIVE_UP_MICROS - 700_000) / 1000, told(peer.frame()));
    }
}
