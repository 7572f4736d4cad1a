package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Before;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;

/** Guards against a call that is written although it lost its permission while queued for its connection's writer. */
public class SendPermissionAtWriteTest extends ConnectionPoolFixture {
    private ManualWorker worker;
    private GatedSocket socket;
    private Query first;
    private ManualWorker.Peer peer;

    /** Opens a connection and blocks its writer before the write of another query's call. */
    @Before
    public void blockWriter() throws Exception {
        worker = worker();
        start(worker);
        socket = prepareSocket();
        socket.beforeWrite.close();
        first = openAndSend("first", SINGLE_SHOT);
        peer = worker.accept();
        socket.beforeWrite.awaitBlocked();
    }

    private void releaseWriter() throws Exception {
        socket.beforeWrite.open();
        assertCall("first.0", peer.frame());
    }

    /** Asserts that another query's call is the next frame: the call queued before it was never written. */
    private void assertNotWritten() throws Exception {
        Query last = openAndSend("last", FREE);
        assertServed(last, "last.0", peer);
    }

    private void answerFirst() throws Exception {
        peer.answer("first.0", "ok");
        assertTrue(nextStep(first) instanceof Step.Answer);
        assertNoOpenQueries();
    }

    @Test
    public void doesNotWriteQueuedCallAfterClientDisconnects() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        gatherer.clientDisconnected(query); // while the thread of the query does not run
        releaseWriter();
        assertNotWritten();
        assertTrue("no cancellation of an attempt that was not written", nextStep(query) instanceof Step.ClientGone);
        answerFirst();
    }

    @Test
    public void cancelsWrittenAttemptAfterClientDisconnects() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        releaseWriter();
        assertCall("q.0", peer.frame());
        gatherer.clientDisconnected(query);
        cancel(query);
        assertEquals("Xq.0", peer.frame());
        assertTrue(nextStep(query) instanceof Step.ClientGone);
        answerFirst();
    }

    @Test
    public void writesNeitherCallNorCancellationIfCancelledWhileQueued() throws Exception {
        Query query = openAndSend("q", FREE);
        ManualWorker other = worker();
        gatherer.control().updateEndpoints(false, List.of(member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        advanceClock(700); // late: the policy cancels the attempt, while the thread of the query does not run
        releaseWriter();
        Step next = nextStep(query);
        if (next instanceof Step.Cancel cancel) { // the writer has not handled the call yet
            pool.cancel(cancel);
            next = nextStep(query);
        }
        pool.send((Step.Send) next);
        assertCall("q.0", other.accept().frame());
        assertConnectionEndsWithoutFurtherFrames();
    }

    @Test
    public void doesNotWriteQueuedCallToWorkerThatStartsDraining() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker other = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, worker, WorkerEndpoint.EndpointState.DRAINING),
                member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        releaseWriter();
        send(query); // never written, so it is retried although it is single-shot
        assertCall("q.0", other.accept().frame());
        assertConnectionEndsWithoutFurtherFrames();
    }

    private void assertConnectionEndsWithoutFurtherFrames() throws Exception {
        peer.answer("first.0", "ok");
        assertTrue(nextStep(first) instanceof Step.Answer);
        pool.close();
        assertEquals("end", peer.frame());
    }

    @Test
    public void doesNotWriteQueuedCallToFormerAddressOfWorker() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker newAddress = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, newAddress, WorkerEndpoint.EndpointState.SERVING)));
        releaseWriter();
        send(query); // never written, so it is retried although it is single-shot
        ManualWorker.Peer newPeer = newAddress.accept();
        assertServed(query, "q.0", newPeer);
        answerFirst();
        assertEquals("the old connection ends once nothing is in flight", "end", peer.frame());
    }

    @Test
    public void acceptsAnswerFromFormerAddressIfCallWasWrittenBeforeChange() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        releaseWriter();
        assertCall("q.0", peer.frame());
        ManualWorker newAddress = worker();
        gatherer.control().updateEndpoints(false, List.of(member(0, newAddress, WorkerEndpoint.EndpointState.SERVING)));
        peer.answer("q.0", "ok");
        assertTrue(nextStep(query) instanceof Step.Answer);
        answerFirst();
    }

    @Test
    public void doesNotWriteQueuedCallAfterDeadline() throws Exception {
        Query query = openAndSend("q", SINGLE_SHOT);
        clock.addAndGet(GIVE_UP_MICROS - 500); // less than one millisecond is left, the least that a call can contain
        releaseWriter();
        assertTrue("the query ends once the writer handles the call", nextStep(query) instanceof Step.FinalStep);
        clock.addAndGet(-GIVE_UP_MICROS / 2);
        assertNotWritten();
    }

    @Test
    public void writesTimeRemainingAtWrite() throws Exception {
        openAndSend("q", SINGLE_SHOT);
        clock.addAndGet(700_000); // while the writer is blocked
        releaseWriter();
        assertEquals((GIVE_UP_MICROS - 700_000) / 1000, remainingMillis(peer.frame()));
    }
}
