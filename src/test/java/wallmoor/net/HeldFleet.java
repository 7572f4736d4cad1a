package wallmoor.net;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.rules.TemporaryFolder;

/** Four workers, discovery, and the listening socket that successive processes of a gatherer inherit. */
abstract class HeldFleet {
    private static final int WORKERS = 4;
    private static final long OBSERVE_MILLIS = 500;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    final List<AutoCloseable> open = new ArrayList<>();
    final List<StandIn.Worker> workers = new ArrayList<>();
    StandIn.Discovery discovery;
    HeldSocket socket;
    Path temporary;
    private final int maxExtraDelayMillis;

    /**
     * Sets how long the workers take for a part.
     *
     * @param maxExtraDelayMillis the exclusive bound of the delay that is added to 5 ms
     */
    HeldFleet(int maxExtraDelayMillis) {
        this.maxExtraDelayMillis = maxExtraDelayMillis;
    }

    @Before
    public void startStandIns() throws Exception {
        socket = new HeldSocket();
        open.add(socket); // first, so that the processes end before the servers they connect to
        discovery = new StandIn.Discovery();
        open.add(discovery);
        for (int i = 0; i < WORKERS; i++) {
            var worker = new StandIn.Worker(id -> "ok");
            worker.delayMillis = id -> 5 + Math.floorMod(id.hashCode(), maxExtraDelayMillis);
            workers.add(worker);
            open.add(worker);
        }
        temporary = folder.newFolder("tmp").toPath();
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable resource : open) {
            resource.close();
        }
    }

    /** Returns the worker's entry of the discovery list. */
    final String member(int worker, String phase) {
        return workers.get(worker).member("w" + worker, worker % 2, phase);
    }

    /** Returns how many parts the worker has received. */
    final long parts(int worker) {
        return workers.get(worker).count("Q");
    }

    /** Returns the parts whose ids begin so that reached workers more than once, with the number of times. */
    final Map<String, Long> repeatedParts(String idPrefix) {
        return workers.stream().flatMap(w -> List.copyOf(w.seen).stream()).filter(s -> s.startsWith("Q" + idPrefix))
                .map(s -> s.split(" ")[0]).collect(Collectors.groupingBy(s -> s, Collectors.counting()))
                .entrySet().stream().filter(e -> e.getValue() > 1)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Checks for a while that the worker receives no parts. */
    final void assertLeftOut(String when, int worker) throws Exception {
        long before = parts(worker);
        Thread.sleep(OBSERVE_MILLIS);
        assertEquals(when, before, parts(worker));
    }

    /** Waits until the worker receives another part. */
    final void awaitUsed(String when, int worker) throws Exception {
        long before = parts(worker);
        Program.await(when, () -> parts(worker) > before);
    }

    /** Sends a query over a new connection, which any process may accept, and returns how many this one has served. */
    final long servedByAnyone(HeldSocket.Run run) {
        try {
            Client.post(socket.port, "s" + System.nanoTime(), "all", 1900, 0, 1);
            return run.admin().figure("served.all");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
