package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Before;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.Step;

/** A repeat that was decided inside its window and waits for a connection, to be written inside it or not at all. */
public class IdempotencyWindowTest extends ConnectionPoolFixture {
    /** The module's margin: two of its rounds. */
    private static final long MARGIN_MICROS = 10_000;

    private final ManualWorker[] workers = new ManualWorker[2];
    private GatedSocket socket;
    private Query query;
    private ManualWorker repeatedAt;

    /** The first attempt is reset 300 ms after its decision, and the second one's connection is not up yet. */
    @Before
    public void repeatOverASlowConnection() throws Exception {
        workers[0] = worker();
        workers[1] = worker();
        start(workers);
        query = open("q", GUARDED);
        Step.Send first = send(query);
        int place = first.worker().id().charAt(0) - 'a';
        ManualWorker.Peer peer = workers[place].accept();
        assertCall("q.0", peer.frame());
        clock.addAndGet(300_000);
        peer.reset();
        socket = prepare();
        socket.beforeConnect.shut();
        Step.Send second = send(query);
        assertTrue("elsewhere", second.worker() != first.worker());
        repeatedAt = workers[1 - place];
        socket.beforeConnect.awaitHeld();
    }

    @Test
    public void aRepeatWhoseConnectionComesUpInsideTheWindowIsWritten() throws Exception {
        clock.addAndGet(DEDUP_MICROS - MARGIN_MICROS - 300_000 - 1);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = repeatedAt.accept();
        assertServed(query, "q.0", peer);
        assertNothingHeld();
    }

    @Test
    public void aRepeatWhoseConnectionComesUpAfterTheWindowIsNotWritten() throws Exception {
        clock.addAndGet(DEDUP_MICROS - MARGIN_MICROS - 300_000);
        socket.beforeConnect.open();
        ManualWorker.Peer peer = repeatedAt.accept();
        assertTrue("it may have run, and may not go again", pick(query) instanceof Step.Fail);
        links.close();
        assertEquals("nothing was written", "end", peer.frame());
        assertNothingHeld();
    }
}
