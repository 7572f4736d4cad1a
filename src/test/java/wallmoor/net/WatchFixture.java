package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.sources.EndpointUpdater;

/**
 * Runs the watch of the list against a {@link ScriptedDiscovery}. Workers a and b hold a cell each and are known from
 * the start.
 */
abstract class WatchFixture {
    static final String LIST = "/api/targets";
    static final String SERVING = "SERVING";
    static final String DRAINING = "DRAINING";
    /** The bound for an immediate request, with room for a loaded machine. */
    static final long IMMEDIATE_MILLIS = 1_500;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<Thread> threadsBefore = new HashSet<>(Thread.getAllStackTraces().keySet());
    private final AtomicInteger queries = new AtomicInteger();
    ScriptedDiscovery discovery;
    Gatherer gatherer;
    DiscoveryWatch watch;
    Thread timers;
    Worker a;
    Worker b;

    @Before
    public void begin() throws Exception {
        discovery = startDiscovery();
    }

    @After
    public void end() throws Exception {
        // the watch never stops by itself: its retries could reach the discovery of another test
        Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals("discovery") && !threadsBefore.contains(t)).forEach(Thread::interrupt);
        for (AutoCloseable o : open) {
            o.close();
        }
        if (timers != null) {
            timers.interrupt();
        }
    }

    ScriptedDiscovery startDiscovery() throws IOException {
        var started = new ScriptedDiscovery();
        open.add(started);
        return started;
    }

    static LaunchConfig launch(int port, String mode) throws IOException {
        Path file = Files.createTempFile("wallmoor", ".json");
        file.toFile().deleteOnExit();
        String known = member("a", SERVING) + "," + member("b", SERVING);
        Files.writeString(file, Program.config("t", Program.SEED, 1, port, known, 64)
                .replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"" + mode + "\""));
        return LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString()));
    }

    static String member(String id, String phase) {
        return member(id, phase, 7000, 0);
    }

    static String member(String id, String phase, int port, long upSince) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"east\","
                + "\"flavor\":\"k\",\"cell\":" + (id.equals("a") ? 0 : 1) + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + upSince + "}";
    }

    static String changes(int revision, String... members) {
        return object(revision, false, members);
    }

    static String completeList(int revision, String... members) {
        return object(revision, true, members);
    }

    private static String object(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", members) + "]}";
    }

    static String watchTarget(int revision) {
        return LIST + "?stream=1&index=" + revision;
    }

    /** Starts the gatherer and its watch; the first request is not read. */
    void start(String mode) throws Exception {
        LaunchConfig launch = launch(discovery.port(), mode);
        var clock = new MonotonicClock();
        gatherer = new Gatherer(launch.settings(), launch.seed(), clock, NOPLogger.NOP_LOGGER);
        watch = new DiscoveryWatch(launch, gatherer);
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        var list = new SourcePolicy("list", true, 0, 1, 1000);
        new EndpointUpdater(RegistryPolicy.of(List.of(list)), clock, gatherer, List.of(watch)).start();
        a = assignedWorker(0);
        b = assignedWorker(1);
        assertTrue(a.id().equals("a") && b.id().equals("b") && a.isServing() && b.isServing());
    }

    /** Starts the gatherer and returns its watch, open and with one heartbeat sent. */
    ScriptedDiscovery.Call openWatch() throws Exception {
        start("subscribe");
        return openWatch(discovery.call(), 41);
    }

    /** Checks that the request is a watch from this revision, opens it and sends a heartbeat. */
    static ScriptedDiscovery.Call openWatch(ScriptedDiscovery.Call call, int revision) throws IOException {
        assertEquals(watchTarget(revision), call.target());
        return call.open().chunk("\n");
    }

    /** Returns the worker that a part of this shard is assigned to now, or null for none. */
    Worker assignedWorker(int shard) throws InterruptedException {
        Query query = gatherer
                .open(new QueryRequest("q" + queries.incrementAndGet(), 1, gatherer.now() + 300_000, false,
                        null, List.of(new Query.PartRequest(shard, 1, -1)), null));
        Step step = gatherer.awaitStep(query);
        gatherer.clientDisconnected(query);
        return step instanceof Step.Send send ? send.worker() : null;
    }

    static void awaitDrained(Worker worker) throws InterruptedException {
        Program.await("the drain of " + worker.id(), () -> !worker.isServing());
    }

    void awaitListed(int count) throws InterruptedException {
        Program.await(count + " workers listed", () -> gatherer.control().workerCounts().known() == count);
    }
}
