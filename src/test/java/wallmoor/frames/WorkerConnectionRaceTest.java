package wallmoor.frames;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;

/** Races of events on a worker's connection, each in both orders: the test blocks one side at a gate. */
public class WorkerConnectionRaceTest extends ConnectionPoolFixture {

    // ---- concurrent attempts of a part --------------------------------------------------------------------

    @Test
    public void startsNoSecondAttemptBeforeCancellationOfFirstIsWritten() throws Exception {
        ManualWorker one = worker();
        ManualWorker other = worker();
        start(one);
        GatedSocket socket = prepareSocket();
        Query query = openAndSend("q", FREE);
        ManualWorker.Peer peer = one.accept();
        assertCall("q.0", peer.frame());
        gatherer.control().updateEndpoints(false, List.of(member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        advanceClock(700);
        socket.beforeWrite.close();
        cancel(query);
        socket.beforeWrite.awaitBlocked();
        Future<Step> next = executor.submit(() -> gatherer.awaitStep(query));
        assertFalse("no second attempt while the first may run", next.isDone());
        socket.beforeWrite.open();
        assertEquals("Xq.0", peer.frame());
        pool.send((Step.Send) next.get(15, TimeUnit.SECONDS));
        ManualWorker.Peer otherPeer = other.accept();
        assertCall("q.0", otherPeer.frame());
        peer.answer("q.0", "ok"); // late: the attempt was cancelled
        otherPeer.answer("q.0", "ok");
        assertTrue(nextStep(query) instanceof Step.Answer);
        assertNoOpenQueries();
    }

    @Test
    public void doesNotMistakeLateAnswerForAnswerToLaterAttempt() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query first = openAndSend("q", FREE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        gatherer.clientDisconnected(first);
        cancel(first);
        assertEquals("Xq.0", peer.frame());
        var again = new java.util.concurrent.atomic.AtomicReference<Query>();
        await("the end of the first query", () -> {
            again.set(gatherer.open(new QueryRequest("q", FREE, clock.get() + GIVE_UP_MICROS, false, null,
                    List.of(new Query.PartRequest(0, 1, -1)),
                    "c41e77d0".getBytes(UTF_8))));
            return again.get() != null;
        });
        Query second = again.get();
        send(second);
        ManualWorker.Peer otherPeer = worker.accept(); // another connection, as the first attempt may still be answered
        assertCall("q.0", otherPeer.frame());
        peer.answer("q.0", "err");
        Query next = openAndSend("next", FREE);
        assertServed(next, "next.0", peer); // the late answer did not close the connection
        otherPeer.answer("q.0", "ok");
        assertTrue(nextStep(second) instanceof Step.Answer);
        assertNoOpenQueries();
    }

    // ---- answer and cancellation --------------------------------------------------------------------------

    @Test
    public void writesNoCancellationIfAnswerIsHandledFirst() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertServed(query, "q.0", peer);
        gatherer.clientDisconnected(query);
        assertTrue("the answer is retained", nextStep(query) instanceof Step.Answer);
        Query next = openAndSend("next", FREE);
        assertCall("next.0", peer.frame());
        gatherer.clientDisconnected(next);
        cancel(next);
    }

    @Test
    public void dropsAnswerHandledAfterCancellationAndKeepsConnection() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        socket.afterRead.close();
        peer.answer("q.0", "ok");
        socket.afterRead.awaitBlocked(); // read, but not handled yet
        gatherer.clientDisconnected(query);
        cancel(query);
        assertEquals("Xq.0", peer.frame());
        socket.afterRead.open();
        assertTrue(nextStep(query) instanceof Step.ClientGone);
        Query next = openAndSend("next", FREE);
        assertServed(next, "next.0", peer);
        assertNoOpenQueries();
    }

    // ---- end of a connection, writes and answers ----------------------------------------------------------

    @Test
    public void acceptsAnswerBeforeResetAndFailsAttemptInFlight() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query answered = openAndSend("answered", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertCall("answered.0", peer.frame());
        Query lost = openAndSend("lost", SINGLE_SHOT);
        assertCall("lost.0", peer.frame());
        peer.answer("answered.0", "ok");
        assertTrue(nextStep(answered) instanceof Step.Answer);
        peer.reset();
        assertTrue("the attempt may have run", nextStep(lost) instanceof Step.Fail);
        assertNoOpenQueries();
    }

    @Test
    public void retriesCallThatWasWrittenPartially() throws Exception {
        ManualWorker worker = worker();
        start(worker, worker); // same address: a part that failed at one may be retried at the other
        GatedSocket socket = prepareSocket();
        socket.maxWrittenBytes = 9;
        Query query = openAndSend("q", SINGLE_SHOT);
        assertEquals("a partial frame", "end", worker.accept().frame());
        send(query); // retried, although it is single-shot
        ManualWorker.Peer otherPeer = worker.accept();
        assertServed(query, "q.0", otherPeer);
        assertNoOpenQueries();
    }

    @Test
    public void retriesQueuedCallsWhenConnectionEnds() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        Query first = openAndSend("first", FREE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(nextStep(first) instanceof Step.Answer);
        socket.beforeWrite.close();
        Query query = openAndSend("q", SINGLE_SHOT);
        socket.beforeWrite.awaitBlocked(); // queued while the connection was healthy
        Query behind = openAndSend("behind", SINGLE_SHOT);
        gatherer.control().updateEndpoints(false, List.of(member(1, worker, WorkerEndpoint.EndpointState.SERVING)));
        peer.shutdownOutput(); // the worker closes the connection early, as if it were idle
        await("the close of the socket", socket::isClosed);
        socket.beforeWrite.open();
        send(query);
        send(behind);
        ManualWorker.Peer otherPeer = worker.accept();
        otherPeer.answer(otherPeer.frame().substring(1).split(" ")[0], "ok");
        otherPeer.answer(otherPeer.frame().substring(1).split(" ")[0], "ok");
        assertTrue(nextStep(query) instanceof Step.Answer);
        assertTrue(nextStep(behind) instanceof Step.Answer);
        assertNoOpenQueries();
    }

    @Test
    public void doesNotQueueCallOnEndedConnection() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        Query first = openAndSend("first", FREE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(nextStep(first) instanceof Step.Answer);
        peer.shutdownOutput();
        await("the close of the socket", socket::isClosed);
        openAndSend("q", SINGLE_SHOT);
        assertCall("q.0", worker.accept().frame());
    }

    // ---- connects -----------------------------------------------------------------------------------------

    @Test
    public void writesNothingIfConnectSucceedsAfterDeadline() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        socket.beforeConnect.close();
        Query query = openAndSend("q", SINGLE_SHOT);
        socket.beforeConnect.awaitBlocked();
        clock.addAndGet(GIVE_UP_MICROS);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = worker.accept();
        await("the end of the query", () -> gatherer.openQueriesAndParts() == 0);
        assertTrue(nextStep(query) instanceof Step.FinalStep);
        pool.close();
        assertEquals("end", peer.frame());
    }

    @Test
    public void reportsOnceAndReleasesSlotIfConnectFailsAfterCancellation() throws Exception {
        maxConnections = 1;
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        socket.beforeConnect.close();
        Query query = openAndSend("q", SINGLE_SHOT);
        socket.beforeConnect.awaitBlocked();
        gatherer.clientDisconnected(query);
        cancel(query);
        assertTrue(nextStep(query) instanceof Step.ClientGone);
        assertNoOpenQueries();
        Query refused = openAndSend("refused", FREE); // queued on the only connection allowed
        gatherer.control().updateEndpoints(false, List.of(member(1, worker, WorkerEndpoint.EndpointState.SERVING)));
        socket.close();
        socket.beforeConnect.open();
        await("the release of the connection slot", () -> log.contains("reach a false") || socket.isClosed());
        send(refused); // the connect failed: the call is retried, and another connection is allowed
        ManualWorker.Peer peer = worker.accept();
        assertServed(refused, "refused.0", peer);
    }

    private boolean connectFailureLogged() {
        return log.stream().anyMatch(l -> l.contains("reason=CONNECT_FAILED"));
    }

    @Test
    public void reportsNoConnectFailureForQueuedCallIfEstablishedConnectionEnds() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        socket.afterWrite.close();
        Query first = openAndSend("first", FREE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(nextStep(first) instanceof Step.Answer);
        Query queued = openAndSend("waits", SINGLE_SHOT); // the writer is still in the first write
        peer.shutdownOutput();
        await("the close of the socket", socket::isClosed);
        socket.afterWrite.open();
        send(queued);
        ManualWorker.Peer otherPeer = worker.accept();
        assertServed(queued, "waits.0", otherPeer);
        assertFalse(log.toString(), connectFailureLogged());
    }

    @Test
    public void countsConnectTimeFromItsStartForCallsQueuedLater() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        socket.beforeConnect.close();
        Query first = openAndSend("first", SINGLE_SHOT);
        socket.beforeConnect.awaitBlocked();
        clock.addAndGet(CONNECT_MICROS - 100_000);
        Query later = openAndSend("joins", SINGLE_SHOT);
        clock.addAndGet(150_000); // exceeds the connect timeout, but not counted from the later call
        socket.close();
        socket.beforeConnect.open();
        send(first);
        send(later);
        assertFalse("a slow connect is not reported as a connect failure: " + log, connectFailureLogged());
    }

    @Test
    public void usesAnotherConnectionIfConnectIsSlow() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        socket.beforeConnect.close();
        openAndSend("first", SINGLE_SHOT);
        socket.beforeConnect.awaitBlocked();
        clock.addAndGet(1_000L * connectMillis / 4 + 1);
        Query second = openAndSend("second", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept(); // another connection
        assertServed(second, "second.0", peer);
        socket.beforeConnect.open();
        assertCall("first.0", worker.accept().frame());
    }

    @Test
    public void retriesCallWithoutCapacityAtConnectionLimit() throws Exception {
        maxConnections = 1;
        maxInFlight = 1;
        ManualWorker worker = worker();
        start(worker, worker); // same address: a part that failed at one may be retried at the other
        Query first = openAndSend("first", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertCall("first.0", peer.frame());
        Query second = openAndSend("second", SINGLE_SHOT);
        var next = (Step.Send) nextStep(second); // it never ran, so it may be retried
        pool.close();
        assertEquals("nothing of it was written", "end", peer.frame());
        pool.send(next);
        assertTrue("the attempt may have run", nextStep(first) instanceof Step.Fail);
        assertFalse("the limit of this process is not reported as a connect failure: " + log, connectFailureLogged());
    }

    // ---- invalid frames -----------------------------------------------------------------------------------

    /** An invalid frame ends its connection in bounded time and fails the part on it; other connections continue. */
    @Test
    public void invalidFrameEndsOnlyItsConnection() throws Exception {
        silenceTimeoutNanos = 1_000_000; // the maximum pause within a frame becomes the minimum
        maxInFlight = 1;
        ManualWorker worker = worker();
        start(worker);
        Query other = openAndSend("other", SINGLE_SHOT);
        ManualWorker.Peer healthyPeer = worker.accept();
        assertCall("other.0", healthyPeer.frame());
        byte[][] invalidFrames = {{0, 0, 0, 0}, {0, 0, 0, 0, 'A'}, {0x7f, 0, 0, 0, 'A'}, {-1, -1, -1, -1, 'A'},
            {0, 0, 0, 9, 'A', 'b'},
            {0, 0}, {0, 0, 0, 1, '?'}, {0, 0, 0, 1, 'E'}, {0, 0, 0, 1, 'A'}, {0, 0, 0, 2, 'A', '\n'},
            "\0\0\0\15Ax ok 7 -\nvvv".getBytes(UTF_8), "\0\0\0\17Abad.0 odd 7 -\n".getBytes(UTF_8)};
        for (int i = 0; i < invalidFrames.length; i++) {
            ManualWorker faultyWorker = worker();
            gatherer.control().updateEndpoints(true,
                    List.of(member(1 + i, faultyWorker, WorkerEndpoint.EndpointState.SERVING)));
            Query query = openAndSend("bad" + i, SINGLE_SHOT);
            ManualWorker.Peer peer = faultyWorker.accept();
            assertCall("bad" + i + ".0", peer.frame());
            peer.bytes(invalidFrames[i]);
            assertEquals("invalid frame " + i, "end", peer.frame());
            assertTrue("the attempt may have run", nextStep(query) instanceof Step.Fail);
        }
        healthyPeer.answer("other.0", "ok");
        assertTrue(nextStep(other) instanceof Step.Answer);
        assertNoOpenQueries();
    }

    /** Guards against a frame that never ends, as single bytes arrive within the maximum pause. */
    @Test
    public void endsConnectionIfFrameArrivesTooSlowly() throws Exception {
        silenceTimeoutNanos = 1_000_000;
        ManualWorker worker = worker();
        start(worker);
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        Future<Step> end = executor.submit(() -> gatherer.awaitStep(query));
        peer.bytes((byte) 0, (byte) 0, (byte) 99, (byte) 99);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!end.isDone() && System.nanoTime() < deadline) {
            try {
                peer.bytes((byte) 'A');
            } catch (java.io.IOException e) {
                break; // the connection has ended
            }
            Thread.sleep(10);
        }
        assertTrue("ended though bytes kept coming", System.nanoTime() < deadline);
        assertTrue("the attempt may have run", end.get(15, TimeUnit.SECONDS) instanceof Step.Fail);
        assertNoOpenQueries();
    }

    @Test
    public void failsPartOnceIfConnectionIsClosedWithPartialAnswer() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepareSocket();
        Query query = openAndSend("q", SINGLE_SHOT);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        socket.afterRead.close();
        peer.bytes("\0\0\0\20Aq.0 o".getBytes(UTF_8));
        socket.afterRead.awaitBlocked();
        pool.close();
        socket.afterRead.open();
        assertTrue("the attempt may have run", nextStep(query) instanceof Step.Fail);
        assertNoOpenQueries();
    }
}
