package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Before;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.Step;

/**
 * Guards against a retry that is written after the idempotency window, where it could be executed twice: it is decided
 * within the window, but has to wait for its connection.
 */
public class IdempotencyWindowTest extends ConnectionPoolFixture {
    /** The margin that the routing policy keeps from the end of the window: two of its rounds. */
    private static final long MARGIN_MICROS = 10_000;

    private final ManualWorker[] workers = new ManualWorker[2];
    private GatedSocket socket;
    private Query query;
    private ManualWorker retryWorker;

    /** Resets the first attempt 300 ms after its decision, and blocks the connect for the second one. */
    @Before
    public void retryOverSlowConnection() throws Exception {
        workers[0] = worker();
        workers[1] = worker();
        start(workers);
        query = open("q", GUARDED);
        Step.Send first = send(query);
        int index = first.worker().id().charAt(0) - 'a';
        ManualWorker.Peer peer = workers[index].accept();
        assertCall("q.0", peer.frame());
        clock.addAndGet(300_000);
        peer.reset();
        socket = prepareSocket();
        socket.beforeConnect.close();
        Step.Send second = send(query);
        assertTrue("retry at another worker", second.worker() != first.worker());
        retryWorker = workers[1 - index];
        socket.beforeConnect.awaitBlocked();
    }

    @Test
    public void writesRetryIfConnectionIsEstablishedWithinWindow() throws Exception {
        clock.addAndGet(DEDUP_MICROS - MARGIN_MICROS - 300_000 - 1);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = retryWorker.accept();
        assertServed(query, "q.0", peer);
        assertNoOpenQueries();
    }

    @Test
    public void doesNotWriteRetryIfConnectionIsEstablishedAfterWindow() throws Exception {
        clock.addAndGet(DEDUP_MICROS - MARGIN_MICROS - 300_000);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = retryWorker.accept();
        assertTrue("it may have run and must not be retried", nextStep(query) instanceof Step.Fail);
        pool.close();
        assertEquals("nothing was written", "end", peer.frame());
        assertNoOpenQueries();
    }
}
