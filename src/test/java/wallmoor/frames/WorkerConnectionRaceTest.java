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
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;

/** Events at a worker's connection that cross, each in both orders: the test holds one side at a gate. */
public class WorkerConnectionRaceTest extends ConnectionPoolFixture {

    // ---- two copies ---------------------------------------------------------------------------------------

    @Test
    public void noSecondAttemptIsDecidedBeforeTheFirstOnesEndIsWritten() throws Exception {
        ManualWorker one = worker();
        ManualWorker other = worker();
        start(one);
        GatedSocket socket = prepare();
        Query query = sent("q", SAFE);
        ManualWorker.Peer peer = one.accept();
        assertCall("q.0", peer.frame());
        gatherer.control().updateEndpoints(false, List.of(member(1, other, WorkerEndpoint.EndpointState.SERVING)));
        pass(700);
        socket.beforeWrite.shut();
        cancel(query);
        socket.beforeWrite.awaitHeld();
        Future<Step> next = threads.submit(() -> gatherer.awaitStep(query));
        assertFalse("a second copy would be out", next.isDone());
        socket.beforeWrite.open();
        assertEquals("Xq.0", peer.frame());
        links.send((Step.Send) next.get(15, TimeUnit.SECONDS));
        ManualWorker.Peer there = other.accept();
        assertCall("q.0", there.frame());
        peer.answer("q.0", "ok"); // late: its attempt has ended
        there.answer("q.0", "ok");
        assertTrue(pick(query) instanceof Step.Answer);
        assertNothingHeld();
    }

    @Test
    public void aLateAnswerToAnEarlierAttemptIsNotTakenForOneToALater() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query first = sent("q", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        gatherer.clientDisconnected(first);
        cancel(first);
        assertEquals("Xq.0", peer.frame());
        var again = new java.util.concurrent.atomic.AtomicReference<Query>();
        await("the end of the first", () -> {
            again.set(gatherer.open("q", ONCE, clock.get() + GIVE_UP_MICROS, false,
                    List.of(new Query.PartRequest(0, 1, -1)),
                    "c41e77d0".getBytes(UTF_8)));
            return again.get() != null;
        });
        Query second = again.get();
        send(second);
        ManualWorker.Peer there = worker.accept(); // the first may still be answered on the other connection
        assertCall("q.0", there.frame());
        peer.answer("q.0", "err");
        Query next = sent("next", SAFE);
        assertServed(next, "next.0", peer); // which took no harm
        there.answer("q.0", "ok");
        assertTrue(pick(second) instanceof Step.Answer);
        assertNothingHeld();
    }

    // ---- answer against cancel ----------------------------------------------------------------------------

    @Test
    public void anAnswerThatIsHandledBeforeTheCancelLeavesNoEndToWrite() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query query = sent("q", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertServed(query, "q.0", peer);
        gatherer.clientDisconnected(query);
        assertTrue("the answer stands", pick(query) instanceof Step.Answer);
        Query next = sent("next", SAFE);
        assertCall("next.0", peer.frame());
        gatherer.clientDisconnected(next);
        cancel(next);
    }

    @Test
    public void anAnswerThatIsHandledAfterTheCancelIsDroppedAndTheConnectionStays() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        Query query = sent("q", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        socket.afterRead.shut();
        peer.answer("q.0", "ok");
        socket.afterRead.awaitHeld(); // read, and not handled yet
        gatherer.clientDisconnected(query);
        cancel(query);
        assertEquals("Xq.0", peer.frame());
        socket.afterRead.open();
        assertTrue(pick(query) instanceof Step.ClientGone);
        Query next = sent("next", SAFE);
        assertServed(next, "next.0", peer);
        assertNothingHeld();
    }

    // ---- the end of a connection against writes and answers -----------------------------------------------

    @Test
    public void anAnswerBeforeTheResetCountsAndWhatIsOutThenMayHaveRun() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        Query answered = sent("answered", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("answered.0", peer.frame());
        Query lost = sent("lost", ONCE);
        assertCall("lost.0", peer.frame());
        peer.answer("answered.0", "ok");
        assertTrue(pick(answered) instanceof Step.Answer);
        peer.reset();
        assertTrue("it may have run", pick(lost) instanceof Step.Fail);
        assertNothingHeld();
    }

    @Test
    public void aCallThatBreaksHalfWrittenNeverRan() throws Exception {
        ManualWorker worker = worker();
        start(worker, worker); // two of one address: a part that failed at one may go to the other
        GatedSocket socket = prepare();
        socket.mostWritten = 9;
        Query query = sent("q", ONCE);
        assertEquals("half a frame", "end", worker.accept().frame());
        send(query); // it goes again, though it may run once
        ManualWorker.Peer there = worker.accept();
        assertServed(query, "q.0", there);
        assertNothingHeld();
    }

    @Test
    public void aConnectionThatEndsWhileACallIsQueuedNeverRanIt() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        Query first = sent("first", SAFE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(pick(first) instanceof Step.Answer);
        socket.beforeWrite.shut();
        Query query = sent("q", ONCE);
        socket.beforeWrite.awaitHeld(); // offered while all was well
        Query behind = sent("behind", ONCE);
        gatherer.control().updateEndpoints(false, List.of(member(1, worker, WorkerEndpoint.EndpointState.SERVING)));
        peer.finish(); // an idle connection is closed early
        await("the end", socket::isClosed);
        socket.beforeWrite.open();
        send(query);
        send(behind);
        ManualWorker.Peer there = worker.accept();
        there.answer(there.frame().substring(1).split(" ")[0], "ok");
        there.answer(there.frame().substring(1).split(" ")[0], "ok");
        assertTrue(pick(query) instanceof Step.Answer);
        assertTrue(pick(behind) instanceof Step.Answer);
        assertNothingHeld();
    }

    @Test
    public void aConnectionThatEndedBeforeTheOfferIsNotOfferedAnything() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        Query first = sent("first", SAFE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(pick(first) instanceof Step.Answer);
        peer.finish();
        await("the end", socket::isClosed);
        sent("q", ONCE);
        assertCall("q.0", worker.accept().frame());
    }

    // ---- dials --------------------------------------------------------------------------------------------

    @Test
    public void aDialThatSucceedsAfterTheDeadlineWritesNothing() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        socket.beforeConnect.shut();
        Query query = sent("q", ONCE);
        socket.beforeConnect.awaitHeld();
        clock.addAndGet(GIVE_UP_MICROS);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = worker.accept();
        await("its end", () -> gatherer.openQueriesAndParts() == 0);
        assertTrue(pick(query) instanceof Step.FinalStep);
        links.close();
        assertEquals("end", peer.frame());
    }

    @Test
    public void aDialThatFailsAfterItsAttemptWasCalledOffReportsNothingTwiceAndFreesItsPlace() throws Exception {
        mostConnections = 1;
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        socket.beforeConnect.shut();
        Query query = sent("q", ONCE);
        socket.beforeConnect.awaitHeld();
        gatherer.clientDisconnected(query);
        cancel(query);
        assertTrue(pick(query) instanceof Step.ClientGone);
        assertNothingHeld();
        Query refused = sent("refused", SAFE); // waits on the one connection there may be
        gatherer.control().updateEndpoints(false, List.of(member(1, worker, WorkerEndpoint.EndpointState.SERVING)));
        socket.close();
        socket.beforeConnect.open();
        await("its place is free", () -> log.contains("reach a false") || socket.isClosed());
        send(refused); // it never came up: it goes again, and there is room for another
        ManualWorker.Peer peer = worker.accept();
        assertServed(refused, "refused.0", peer);
    }

    private boolean blamed() {
        return log.stream().anyMatch(l -> l.contains("reason=CONNECT_FAILED"));
    }

    @Test
    public void aSoundConnectionThatEndsBlamesNobodyForACallThatWaits() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        socket.afterWrite.shut();
        Query first = sent("first", SAFE);
        ManualWorker.Peer peer = worker.accept();
        peer.frame();
        peer.answer("first.0", "ok");
        assertTrue(pick(first) instanceof Step.Answer);
        Query waits = sent("waits", ONCE); // behind the writer, which is not back from the first
        peer.finish();
        await("the end", socket::isClosed);
        socket.afterWrite.open();
        send(waits);
        ManualWorker.Peer there = worker.accept();
        assertServed(waits, "waits.0", there);
        assertFalse(log.toString(), blamed());
    }

    @Test
    public void whoJoinsADialIsToldThatItTookAsLongAsForTheFirst() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        socket.beforeConnect.shut();
        Query first = sent("first", ONCE);
        socket.beforeConnect.awaitHeld();
        clock.addAndGet(CONNECT_MICROS - 100_000);
        Query joins = sent("joins", ONCE);
        clock.addAndGet(150_000); // longer than a connect may take, but not for the one that joined
        socket.close();
        socket.beforeConnect.open();
        send(first);
        send(joins);
        assertFalse("connecting is slow, no worker died: " + log, blamed());
    }

    @Test
    public void aSlowDialIsNotJoined() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        socket.beforeConnect.shut();
        sent("first", ONCE);
        socket.beforeConnect.awaitHeld();
        clock.addAndGet(1_000L * connectMillis / 4 + 1);
        Query second = sent("second", ONCE);
        ManualWorker.Peer peer = worker.accept(); // a connection of its own
        assertServed(second, "second.0", peer);
        socket.beforeConnect.open();
        assertCall("first.0", worker.accept().frame());
    }

    @Test
    public void atTheLimitOfConnectionsWhatHasNoRoomNeverRan() throws Exception {
        mostConnections = 1;
        streams = 1;
        ManualWorker worker = worker();
        start(worker, worker); // two of one address: a part that failed at one may go to the other
        Query first = sent("first", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("first.0", peer.frame());
        Query second = sent("second", ONCE);
        var next = (Step.Send) pick(second); // it never ran: it may go again
        links.close();
        assertEquals("nothing of it was written", "end", peer.frame());
        links.send(next);
        assertTrue("it may have run", pick(first) instanceof Step.Fail);
        assertFalse("the bound is ours: " + log, blamed());
    }

    // ---- bad answers --------------------------------------------------------------------------------------

    /** Each ends its connection in bounded time, and the part on it; what is out on another goes on. */
    @Test
    public void whatIsNoAnswerEndsItsConnectionAlone() throws Exception {
        silentNanos = 1_000_000; // a frame may pause for the shortest time there is
        streams = 1;
        ManualWorker worker = worker();
        start(worker);
        Query other = sent("other", ONCE);
        ManualWorker.Peer sound = worker.accept();
        assertCall("other.0", sound.frame());
        byte[][] bad = {{0, 0, 0, 0}, {0, 0, 0, 0, 'A'}, {0x7f, 0, 0, 0, 'A'}, {-1, -1, -1, -1, 'A'},
            {0, 0, 0, 9, 'A', 'b'},
            {0, 0}, {0, 0, 0, 1, '?'}, {0, 0, 0, 1, 'E'}, {0, 0, 0, 1, 'A'}, {0, 0, 0, 2, 'A', '\n'},
            "\0\0\0\15Ax ok 7 -\nvvv".getBytes(UTF_8), "\0\0\0\17Abad.0 odd 7 -\n".getBytes(UTF_8)};
        for (int i = 0; i < bad.length; i++) {
            ManualWorker spoilt = worker();
            gatherer.control().updateEndpoints(true,
                    List.of(member(1 + i, spoilt, WorkerEndpoint.EndpointState.SERVING)));
            Query query = sent("bad" + i, ONCE);
            ManualWorker.Peer peer = spoilt.accept();
            assertCall("bad" + i + ".0", peer.frame());
            peer.bytes(bad[i]);
            assertEquals("number " + i, "end", peer.frame());
            assertTrue("it may have run", pick(query) instanceof Step.Fail);
        }
        sound.answer("other.0", "ok");
        assertTrue(pick(other) instanceof Step.Answer);
        assertNothingHeld();
    }

    /** A byte now and then is a sign of life, and no end of a frame. */
    @Test
    public void aFrameThatComesByteByByteWithoutAnEndIsBoundedInTime() throws Exception {
        silentNanos = 1_000_000;
        ManualWorker worker = worker();
        start(worker);
        Query query = sent("q", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        Future<Step> end = threads.submit(() -> gatherer.awaitStep(query));
        peer.bytes((byte) 0, (byte) 0, (byte) 99, (byte) 99);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!end.isDone() && System.nanoTime() < until) {
            try {
                peer.bytes((byte) 'A');
            } catch (java.io.IOException e) {
                break; // it has ended
            }
            Thread.sleep(10);
        }
        assertTrue("ended though bytes kept coming", System.nanoTime() < until);
        assertTrue("it may have run", end.get(15, TimeUnit.SECONDS) instanceof Step.Fail);
        assertNothingHeld();
    }

    @Test
    public void halfALineThatComesAsWeCloseEndsThePartOnce() throws Exception {
        ManualWorker worker = worker();
        start(worker);
        GatedSocket socket = prepare();
        Query query = sent("q", ONCE);
        ManualWorker.Peer peer = worker.accept();
        assertCall("q.0", peer.frame());
        socket.afterRead.shut();
        peer.bytes("\0\0\0\20Aq.0 o".getBytes(UTF_8));
        socket.afterRead.awaitHeld();
        links.close();
        socket.afterRead.open();
        assertTrue("it may have run", pick(query) instanceof Step.Fail);
        assertNothingHeld();
    }
}
