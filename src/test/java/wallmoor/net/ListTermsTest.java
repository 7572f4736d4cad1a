package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/**
 * What befalls the list's watch, and a drain that it misses: once the drain counts as told and its grace of 2 s is
 * over, the real program sends the drained worker nothing new.
 */
public class ListTermsTest {
    private static final long GRACE = 2_000;
    /** A watch that fell silent. */
    private static final long TERM = 6_000;
    /** A slow machine's: less than any wait that would have to be seen. */
    private static final long SLACK = 400;

    private final List<AutoCloseable> open = new ArrayList<>();
    private volatile boolean over;
    private StandIn.Discovery discovery;
    private StandIn.Worker drained;
    private StandIn.Worker other;

    private void start(String way) throws Exception {
        discovery = new StandIn.Discovery();
        drained = worker();
        other = worker();
        open.add(discovery);
        var program = new Program(discovery.port(), drained.member("a", 0, "SERVING") + ","
                + other.member("b", 0, "SERVING"), null, 1024, way);
        open.add(program);
        Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1&index=41") == 1);
        for (int i = 0; i < 4; i++) { // several at once, as one alone would stay with one worker
            int from = 1_000_000 * i;
            var load = new Thread(() -> load(program.port, from));
            load.setDaemon(true);
            load.start();
        }
        Thread.sleep(2_500); // a watch that is lost younger than 2 s counts as a call that failed
        assertTrue("the load reaches it", drained.count("Q") > 20);
    }

    private void load(int port, int from) {
        for (int i = from; !over; i++) {
            try {
                assertEquals(200, Client.post(port, "l" + i, "all", 1900, 0).status);
            } catch (IOException e) {
                // the program is being ended
            }
        }
    }

    private StandIn.Worker worker() throws IOException {
        var worker = new StandIn.Worker(id -> {
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "ok";
        });
        open.add(worker);
        return worker;
    }

    @After
    public void stop() throws Exception {
        over = true;
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    private String drain() {
        return "{\"revision\":43,\"complete\":false,\"members\":[" + drained.member("a", 0, "DRAINING") + "]}";
    }

    /** The drain is made now, and counts as told after so long. */
    private void drainCountsAfter(long millis) throws InterruptedException {
        discovery.changesSinceIndex = drain();
        long sent = drained.count("Q");
        Thread.sleep(millis + GRACE + SLACK);
        long before = drained.count("Q");
        long elsewhere = other.count("Q");
        assertTrue("the load went on", before + elsewhere > sent);
        Thread.sleep(1_500);
        assertEquals("nothing new", before, drained.count("Q"));
        assertTrue("and the load still goes on", other.count("Q") > elsewhere + 20);
    }

    @Test
    public void aWatchFallsSilentThenAWorkerDrains() throws Exception {
        start("subscribe");
        discovery.silenceOpenWatches("");
        drainCountsAfter(TERM);
    }

    @Test
    public void aWatchFallsSilentInTheMiddleOfALineThatTellsTheDrain() throws Exception {
        start("subscribe");
        discovery.silenceOpenWatches(drain().substring(0, 60));
        drainCountsAfter(TERM);
    }

    @Test
    public void aWatchTellsTheDrainIndentedOverManyLines() throws Exception {
        start("subscribe");
        // counts as it is written
        discovery.send(drain().replace(",", ",\r\n\n  ").replace("[", "[\n").replace("}]", "}\n]\n"));
        drainCountsAfter(0);
        assertEquals("on the first watch", 1, discovery.count("GET /api/targets"));
    }

    @Test
    public void aPushedWatchIsResetThenAWorkerDrains() throws Exception {
        start("automatic"); // there the drain counts at once
        discovery.reset();
        drainCountsAfter(0);
    }

    @Test
    public void discoveryIsAwayAndAWorkerDrainsAtItsReturn() throws Exception {
        start("automatic");
        discovery.resetsConnections = true;
        discovery.reset();
        Thread.sleep(5_000); // by then the module waits for 2 to 6 s
        discovery.resetsConnections = false;
        drainCountsAfter(0);
    }
}
