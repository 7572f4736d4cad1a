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
 * A worker drains while the discovery watch of the real program is silent, broken or reset. Once the drain counts as
 * announced and its grace period of 2 s has passed, the program must send the drained worker no new parts.
 */
public class ListTermsTest {
    private static final long DRAIN_GRACE_MILLIS = 2_000;
    /** Time after which a drain counts as announced to a program whose watch fell silent. */
    private static final long WATCH_SILENCE_MILLIS = 6_000;
    /** Allowance for a slow machine; shorter than any delay that the tests must detect. */
    private static final long SLACK_MILLIS = 400;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private volatile boolean isStopped;
    private StandIn.Discovery discovery;
    private StandIn.Worker drained;
    private StandIn.Worker other;

    private void start(String discoveryMode) throws Exception {
        discovery = new StandIn.Discovery();
        drained = startWorker();
        other = startWorker();
        resources.add(discovery);
        var program = new Program(discovery.port(), drained.member("a", 0, "SERVING") + ","
                + other.member("b", 0, "SERVING"), null, 1024, discoveryMode);
        resources.add(program);
        Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1&index=41") == 1);
        for (int i = 0; i < 4; i++) { // a single client would stay with one worker
            int firstNumber = 1_000_000 * i;
            var load = new Thread(() -> load(program.port, firstNumber));
            load.setDaemon(true);
            load.start();
        }
        Thread.sleep(2_500); // the loss of a watch younger than 2 s counts as a failed call
        assertTrue("the worker to be drained receives queries", drained.count("Q") > 20);
    }

    private void load(int port, int firstNumber) {
        for (int i = firstNumber; !isStopped; i++) {
            try {
                assertEquals(200, Client.post(port, "l" + i, "all", 1900, 0).status);
            } catch (IOException e) {
                // expected while the program is being stopped
            }
        }
    }

    private StandIn.Worker startWorker() throws IOException {
        var worker = new StandIn.Worker(id -> {
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "ok";
        });
        resources.add(worker);
        return worker;
    }

    @After
    public void stop() throws Exception {
        isStopped = true;
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private String drainUpdate() {
        return "{\"revision\":43,\"complete\":false,\"members\":[" + drained.member("a", 0, "DRAINING") + "]}";
    }

    /**
     * Publishes the drain and checks that the worker receives nothing once the drain counts as announced and its grace
     * period has passed.
     *
     * @param millis the time after which the drain counts as announced
     */
    private void assertDrainTakesEffectAfter(long millis) throws InterruptedException {
        discovery.changesSinceIndex = drainUpdate();
        long sentBefore = drained.count("Q");
        Thread.sleep(millis + DRAIN_GRACE_MILLIS + SLACK_MILLIS);
        long sentToDrained = drained.count("Q");
        long sentToOther = other.count("Q");
        assertTrue("the load continues", sentToDrained + sentToOther > sentBefore);
        Thread.sleep(1_500);
        assertEquals("new parts sent to the drained worker", sentToDrained, drained.count("Q"));
        assertTrue("the other worker still receives queries", other.count("Q") > sentToOther + 20);
    }

    @Test
    public void stopsSendingToDrainedWorkerWhenWatchIsSilent() throws Exception {
        start("subscribe");
        discovery.silenceOpenWatches("");
        assertDrainTakesEffectAfter(WATCH_SILENCE_MILLIS);
    }

    @Test
    public void stopsSendingToDrainedWorkerWhenWatchFallsSilentWithinTheUpdate() throws Exception {
        start("subscribe");
        discovery.silenceOpenWatches(drainUpdate().substring(0, 60));
        assertDrainTakesEffectAfter(WATCH_SILENCE_MILLIS);
    }

    @Test
    public void stopsSendingToDrainedWorkerAfterUpdateOverSeveralLines() throws Exception {
        start("subscribe");
        // the drain counts as announced once it is written
        discovery.send(drainUpdate().replace(",", ",\r\n\n  ").replace("[", "[\n").replace("}]", "}\n]\n"));
        assertDrainTakesEffectAfter(0);
        assertEquals("no second watch was opened", 1, discovery.count("GET /api/targets"));
    }

    @Test
    public void stopsSendingToDrainedWorkerWhenPushedWatchIsReset() throws Exception {
        start("automatic"); // in this mode the drain counts as announced at once
        discovery.reset();
        assertDrainTakesEffectAfter(0);
    }

    @Test
    public void stopsSendingToWorkerThatDrainsWhenDiscoveryReturns() throws Exception {
        start("automatic");
        discovery.resetsConnections = true;
        discovery.reset();
        Thread.sleep(5_000); // by then the program retries only every 2 to 6 s
        discovery.resetsConnections = false;
        assertDrainTakesEffectAfter(0);
    }
}
