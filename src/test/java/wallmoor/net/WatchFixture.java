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
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.sources.EndpointUpdater;

/**
 * The list's watch over loopback: discovery does what the test says, when it says so, and holds each call until then.
 * Workers a and b hold a cell each and are known from the start.
 */
abstract class WatchFixture {
    static final String LIST = "/api/targets";
    static final String SERVING = "SERVING";
    static final String DRAINING = "DRAINING";
    /** Asked at once, on a slow machine. */
    static final long AT_ONCE_MILLIS = 1_500;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<Thread> before = new HashSet<>(Thread.getAllStackTraces().keySet());
    private final AtomicInteger queries = new AtomicInteger();
    ScriptedDiscovery discovery;
    Gatherer gatherer;
    DiscoveryWatch watch;
    Thread timers;
    Worker a;
    Worker b;

    @Before
    public void begin() throws Exception {
        discovery = scripted();
    }

    @After
    public void end() throws Exception {
        // the watch asks for ever: it must not come upon another test's discovery
        Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals("discovery") && !before.contains(t)).forEach(Thread::interrupt);
        for (AutoCloseable o : open) {
            o.close();
        }
        if (timers != null) {
            timers.interrupt();
        }
    }

    ScriptedDiscovery scripted() throws IOException {
        var made = new ScriptedDiscovery();
        open.add(made);
        return made;
    }

    static LaunchConfig launch(int port, String way) throws IOException {
        Path file = Files.createTempFile("wallmoor", ".json");
        file.toFile().deleteOnExit();
        String known = member("a", SERVING) + "," + member("b", SERVING);
        Files.writeString(file, Program.config("t", Program.SEED, 1, port, known, 64)
                .replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"" + way + "\""));
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

    static String whole(int revision, String... members) {
        return object(revision, true, members);
    }

    private static String object(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", members) + "]}";
    }

    static String from(int revision) {
        return LIST + "?stream=1&index=" + revision;
    }

    /** Starts the gatherer; its first call is to be taken from the discovery. */
    void start(String way) throws Exception {
        LaunchConfig launch = launch(discovery.port(), way);
        var clock = new MonotonicClock();
        gatherer = new Gatherer(launch.settings(), launch.seed(), clock, NOPLogger.NOP_LOGGER);
        watch = new DiscoveryWatch(launch, gatherer);
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        var list = new SourcePolicy("list", true, 0, 1, 1000);
        new EndpointUpdater(RegistryPolicy.of(List.of(list)), clock, gatherer, List.of(watch)).start();
        a = assigned(0);
        b = assigned(1);
        assertTrue(a.id().equals("a") && b.id().equals("b") && a.isServing() && b.isServing());
    }

    /** A watch that has been opened and has spoken. */
    ScriptedDiscovery.Call watched() throws Exception {
        start("subscribe");
        return opened(discovery.call(), 41);
    }

    static ScriptedDiscovery.Call opened(ScriptedDiscovery.Call call, int revision) throws IOException {
        assertEquals(from(revision), call.target());
        return call.open().chunk("\n");
    }

    /** Who is given a part of this shard now; null for nobody. */
    Worker assigned(int shard) throws InterruptedException {
        Query query = gatherer.open("q" + queries.incrementAndGet(), 1, gatherer.now() + 300_000, false,
                List.of(new Query.PartRequest(shard, 1, -1)), null);
        Step step = gatherer.awaitStep(query);
        gatherer.clientDisconnected(query);
        return step instanceof Step.Send send ? send.worker() : null;
    }

    static void awaitDrained(Worker worker) throws InterruptedException {
        Program.await("the drain of " + worker.id(), () -> !worker.isServing());
    }

    void awaitListed(int count) throws InterruptedException {
        Program.await(count + " nodes listed", () -> gatherer.control().workerCounts().known() == count);
    }
}
