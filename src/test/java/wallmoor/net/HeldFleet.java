package wallmoor.net;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.rules.TemporaryFolder;

/**
 * Four workers, a list, and the listening socket that one process of a gatherer inherits after another: of its tests.
 */
abstract class HeldFleet {
    private static final int WORKERS = 4;
    private static final long WATCHED_MILLIS = 500;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    final List<AutoCloseable> open = new ArrayList<>();
    final List<StandIn.Worker> workers = new ArrayList<>();
    StandIn.Discovery discovery;
    HeldSocket socket;
    Path temporary;
    private final int delayMillis;

    /** Workers take 5 ms to answer a part, and less than so many more. */
    HeldFleet(int delayMillis) {
        this.delayMillis = delayMillis;
    }

    @Before
    public void standIns() throws Exception {
        socket = new HeldSocket();
        open.add(socket); // ended first, and before what it talks to
        discovery = new StandIn.Discovery();
        open.add(discovery);
        for (int i = 0; i < WORKERS; i++) {
            var worker = new StandIn.Worker(id -> "ok");
            worker.delayMillis = id -> 5 + Math.floorMod(id.hashCode(), delayMillis);
            workers.add(worker);
            open.add(worker);
        }
        temporary = folder.newFolder("tmp").toPath();
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    final String member(int worker, String phase) {
        return workers.get(worker).member("w" + worker, worker % 2, phase);
    }

    final long parts(int worker) {
        return workers.get(worker).count("Q");
    }

    final void assertLeftOut(String when, int worker) throws Exception {
        long before = parts(worker);
        Thread.sleep(WATCHED_MILLIS);
        assertEquals(when, before, parts(worker));
    }

    final void awaitUsed(String when, int worker) throws Exception {
        long before = parts(worker);
        Program.await(when, () -> parts(worker) > before);
    }

    /** What a process served, after one query over a new connection, which any process may take. */
    final long servedByAnyone(HeldSocket.Run run) {
        try {
            Client.post(socket.port, "s" + System.nanoTime(), "all", 1900, 0, 1);
            return run.admin().figure("served.all");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
