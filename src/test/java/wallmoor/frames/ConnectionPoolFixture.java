package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.After;
import org.junit.Before;
import wallmoor.config.SettingsReader;
import wallmoor.core.Gatherer;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;
import wallmoor.decision.RoutingSettings;
import wallmoor.standin.RecordingLogger;

/**
 * A gatherer with a manual clock, real connections to workers that a test controls, and gates at which a test blocks
 * the connections' threads. The test's thread acts for the queries' threads: it takes their steps and passes them on.
 */
abstract class ConnectionPoolFixture {
    static final int FREE = 0;
    static final int GUARDED = 1;
    static final int SINGLE_SHOT = 2;
    /** The idempotency key of the queries of the class {@link #GUARDED}. */
    static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    static final long DEDUP_MICROS = 600_000;
    static final long GIVE_UP_MICROS = 2_000_000;
    static final long CONNECT_MICROS = 250_000;
    private static final String CLASS_SETTINGS = " Classes.%d.Aim=1000000 Classes.%d.GiveUp=2000000 Classes.%d.Worth=1"
            + " Classes.%d.LateWorth=0.1 Classes.%d.Repeat=%s Classes.%d.DedupWindow=" + DEDUP_MICROS;
    private static final String SETTINGS = "Classes.count=3" + classSettings(0, "free") + classSettings(1, "guarded")
            + classSettings(2, "single_shot") + " Domain.NeedByClass=1,1,1 Domain.FloorByClass=1,1,1 Domain.Reach=1"
            + " Domain.Sets=1 Domain.Slabs=4 Discovery=subscribe Instances=1 Position=0 Round=5000 Limits.MaxAttempts=4"
            + " Limits.MaxOpen=400 Limits.Cancelling=true Limits.RetryAfter=true Limits.MaxRetryAfter=2000000"
            + " Contract.DrainGrace=2000000 Contract.ColdShare=0.16 Contract.Cold=18000000 Contract.FallMultiple=2"
            + " Contract.OverloadFor=2000000 Limits.ConnectTimeout=" + CONNECT_MICROS;

    final AtomicLong clock = new AtomicLong(1_000_000_000);
    final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    final LinkedBlockingQueue<GatedSocket> createdSockets = new LinkedBlockingQueue<>();
    final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<AutoCloseable> opened = new ArrayList<>();
    /** The ids of the queries that were opened with {@link #KEY}. */
    private final Set<String> guardedIds = new HashSet<>();
    /** The socket of the next connection, or null for a new one with all gates open. */
    private GatedSocket nextSocket;
    Gatherer gatherer;
    WorkerConnectionPool pool;
    int maxInFlight = 100;
    int connectMillis = 5_000;
    long idleTimeoutNanos = TimeUnit.SECONDS.toNanos(30);
    long silenceTimeoutNanos = TimeUnit.SECONDS.toNanos(30);
    int maxConnections = 8;

    private static String classSettings(int index, String repeat) {
        return CLASS_SETTINGS.replace("%s", repeat).replace("%d", "" + index);
    }

    @Before
    public void startGatherer() {
        var pairs = new HashMap<String, String>();
        for (String pair : SETTINGS.split(" ")) {
            pairs.put(pair.split("=")[0], pair.split("=")[1]);
        }
        RoutingSettings settings = new SettingsReader(pairs).settings();
        gatherer = new Gatherer(settings, 7, clock::get, new RecordingLogger(log::add));
    }

    @After
    public void stopAll() throws Exception {
        if (pool != null) {
            pool.close();
        }
        executor.shutdownNow();
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    ManualWorker worker() throws IOException {
        var worker = new ManualWorker();
        opened.add(worker);
        return worker;
    }

    /** Creates the pool, with these workers in the endpoint list; their ids are a, b and so on. */
    void start(ManualWorker... workers) {
        pool = new WorkerConnectionPool(gatherer,
                new ConnectionLimits(maxInFlight, connectMillis, idleTimeoutNanos, silenceTimeoutNanos,
                        maxConnections, this::socket, (id, up) -> log.add("reach " + id + " " + up)));
        var members = new ArrayList<WorkerEndpoint>();
        for (int i = 0; i < workers.length; i++) {
            members.add(member(i, workers[i], WorkerEndpoint.EndpointState.SERVING));
        }
        gatherer.control().start(members);
    }

    static WorkerEndpoint member(int index, ManualWorker worker, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint("" + (char) ('a' + index), worker.address(), 0, 0, 0, state, 1, 0);
    }

    private synchronized Socket socket() {
        GatedSocket socket = nextSocket != null ? nextSocket : new GatedSocket();
        nextSocket = null;
        createdSockets.add(socket);
        return socket;
    }

    /** Creates the next connection's socket, whose gates can be closed before it is used. */
    synchronized GatedSocket prepareSocket() {
        nextSocket = new GatedSocket();
        return nextSocket;
    }

    Query open(String id, int queryClass) {
        String key = null;
        if (queryClass == GUARDED) {
            key = KEY;
            guardedIds.add(id);
        }
        Query query = gatherer.open(new QueryRequest(id, queryClass, clock.get() + GIVE_UP_MICROS, false, key,
                List.of(new Query.PartRequest(0, 1, -1)), "c41e77d0".getBytes(StandardCharsets.ISO_8859_1)));
        assertTrue("query " + id + " accepted", query != null);
        return query;
    }

    /** Waits for a query's next step, which must be available or result from the reports of other threads. */
    Step nextStep(Query query) throws Exception {
        Future<Step> step = executor.submit(() -> gatherer.awaitStep(query));
        return step.get(15, TimeUnit.SECONDS);
    }

    /** Takes a query's next step, a call, and passes it to the pool. */
    Step.Send send(Query query) throws Exception {
        var send = (Step.Send) nextStep(query);
        pool.send(send);
        return send;
    }

    /** Takes a query's next step, a cancellation, and passes it to the pool. */
    Step.Cancel cancel(Query query) throws Exception {
        var cancel = (Step.Cancel) nextStep(query);
        pool.cancel(cancel);
        return cancel;
    }

    /** Opens a query and passes its call to the pool. */
    Query openAndSend(String id, int queryClass) throws Exception {
        Query query = open(id, queryClass);
        send(query);
        return query;
    }

    /** Advances the gatherer's clock in steps of 10 ms, with a tick after each. */
    void advanceClock(long millis) throws Exception {
        for (long t = 0; t < millis; t += 10) {
            clock.addAndGet(10_000);
            gatherer.tick(0);
        }
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!condition.getAsBoolean()) {
            assertTrue("timed out waiting for: " + what, System.nanoTime() < deadline);
            Thread.sleep(2);
        }
    }

    /** Asserts that a frame is the call of a part; one of a query with an idempotency key must carry it. */
    void assertCall(String part, String frame) {
        String key = guardedIds.contains(part.substring(0, part.lastIndexOf('.'))) ? ",k=" + KEY : "";
        assertTrue(frame, frame.matches("(?s)Q" + part.replace(".", "\\.") + " 0 d=\\d+" + key + " 8\nc41e77d0"));
    }

    /** Asserts that the next frame is the call of this part, answers it, and asserts that this completes the query. */
    void assertServed(Query query, String part, ManualWorker.Peer peer) throws Exception {
        assertCall(part, peer.frame());
        peer.answer(part, "ok");
        assertTrue(nextStep(query) instanceof Step.Answer);
    }

    /** Returns the remaining time in a call, in milliseconds. */
    static long remainingMillis(String frame) {
        return Long.parseLong(frame.replaceAll("(?s).* d=(\\d+) .*", "$1"));
    }

    void assertNoOpenQueries() throws Exception {
        await("the end of all queries", () -> gatherer.openQueriesAndParts() == 0);
        assertEquals(0, gatherer.openQueries());
    }
}
