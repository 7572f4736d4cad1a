package wallmoor.frames;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;
import wallmoor.decision.RoutingSettings;
import wallmoor.standin.RecordingLogger;

/**
 * A gatherer with a hand-turned clock, real connections to workers whose moves a test makes, and gates in the way of
 * the connections' threads. The test's thread stands for the queries': it picks their steps and hands them on.
 */
abstract class ConnectionPoolFixture {
    static final int SAFE = 0;
    static final int GUARDED = 1;
    static final int ONCE = 2;
    static final long DEDUP_MICROS = 600_000;
    static final long GIVE_UP_MICROS = 2_000_000;
    static final long CONNECT_MICROS = 250_000;
    private static final String CLASS = " Classes.%d.Aim=1000000 Classes.%d.GiveUp=2000000 Classes.%d.Worth=1"
            + " Classes.%d.LateWorth=0.1 Classes.%d.Repeat=%s Classes.%d.DedupWindow=" + DEDUP_MICROS;
    private static final String SETTINGS = "Classes.count=3" + classAt(0, "free") + classAt(1, "guarded")
            + classAt(2, "single_shot") + " Domain.NeedByClass=1,1,1 Domain.FloorByClass=1,1,1 Domain.Reach=1"
            + " Domain.Sets=1 Domain.Slabs=4 Discovery=subscribe Instances=1 Position=0 Round=5000 Limits.MaxAttempts=4"
            + " Limits.MaxOpen=400 Limits.Cancelling=true Limits.RetryAfter=true Limits.MaxRetryAfter=2000000"
            + " Contract.DrainGrace=2000000 Contract.ColdShare=0.16 Contract.Cold=18000000 Contract.FallMultiple=2"
            + " Contract.OverloadFor=2000000 Limits.ConnectTimeout=" + CONNECT_MICROS;

    final AtomicLong clock = new AtomicLong(1_000_000_000);
    final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    final LinkedBlockingQueue<GatedSocket> made = new LinkedBlockingQueue<>();
    final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<AutoCloseable> opened = new ArrayList<>();
    /** Where set, connections come with these gates as they are; else all gates are open. */
    private GatedSocket next;
    Gatherer gatherer;
    WorkerConnectionPool links;
    int streams = 100;
    int connectMillis = 5_000;
    long retireNanos = TimeUnit.SECONDS.toNanos(30);
    long silentNanos = TimeUnit.SECONDS.toNanos(30);
    int mostConnections = 8;

    private static String classAt(int place, String repeat) {
        return CLASS.replace("%s", repeat).replace("%d", "" + place);
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
        if (links != null) {
            links.close();
        }
        threads.shutdownNow();
        for (AutoCloseable o : opened) {
            o.close();
        }
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    ManualWorker worker() throws IOException {
        var worker = new ManualWorker();
        opened.add(worker);
        return worker;
    }

    /** Starts the links, with these workers in the list; they are named a, b and so on. */
    void start(ManualWorker... workers) {
        links = new WorkerConnectionPool(gatherer,
                new ConnectionLimits(streams, connectMillis, retireNanos, silentNanos,
                        mostConnections, this::socket, (id, up) -> log.add("reach " + id + " " + up)));
        var members = new ArrayList<WorkerEndpoint>();
        for (int i = 0; i < workers.length; i++) {
            members.add(member(i, workers[i], WorkerEndpoint.EndpointState.SERVING));
        }
        gatherer.control().start(members);
    }

    static WorkerEndpoint member(int place, ManualWorker worker, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint("" + (char) ('a' + place), worker.address(), 0, 0, 0, state, 1, 0);
    }

    private synchronized Socket socket() {
        GatedSocket socket = next != null ? next : new GatedSocket();
        next = null;
        made.add(socket);
        return socket;
    }

    /** The next connection's socket, with its gates to be set first. */
    synchronized GatedSocket prepare() {
        next = new GatedSocket();
        return next;
    }

    Query open(String id, int queryClass) {
        Query query = gatherer.open(id, queryClass, clock.get() + GIVE_UP_MICROS, false,
                List.of(new Query.PartRequest(0, 1, -1)), "c41e77d0".getBytes(StandardCharsets.ISO_8859_1));
        assertTrue("taken", query != null);
        return query;
    }

    /** Picks a query's next step, which must come at once or by what other threads report. */
    Step pick(Query query) throws Exception {
        Future<Step> step = threads.submit(() -> gatherer.awaitStep(query));
        return step.get(15, TimeUnit.SECONDS);
    }

    /** Picks a query's next step, a call, and hands it to the links. */
    Step.Send send(Query query) throws Exception {
        var send = (Step.Send) pick(query);
        links.send(send);
        return send;
    }

    /** Picks a query's next step, a call's end, and hands it to the links. */
    Step.Cancel cancel(Query query) throws Exception {
        var cancel = (Step.Cancel) pick(query);
        links.cancel(cancel);
        return cancel;
    }

    /** Opens a query and hands its call to the links. */
    Query sent(String id, int queryClass) throws Exception {
        Query query = open(id, queryClass);
        send(query);
        return query;
    }

    /** Lets the gatherer's clock go on in the steps that the sweeps need. */
    void pass(long millis) throws Exception {
        for (long t = 0; t < millis; t += 10) {
            clock.addAndGet(10_000);
            gatherer.tick(0);
        }
    }

    static void await(String what, BooleanSupplier came) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!came.getAsBoolean()) {
            assertTrue("did not come: " + what, System.nanoTime() < until);
            Thread.sleep(2);
        }
    }

    static void assertCall(String part, String frame) {
        assertTrue(frame, frame.matches("(?s)Q" + part.replace(".", "\\.") + " 0 d=\\d+ 8\nc41e77d0"));
    }

    /** This part comes next on this connection, and its answer ends the query. */
    void assertServed(Query query, String part, ManualWorker.Peer peer) throws Exception {
        assertCall(part, peer.frame());
        peer.answer(part, "ok");
        assertTrue(pick(query) instanceof Step.Answer);
    }

    /** The time told in a call, in milliseconds. */
    static long told(String frame) {
        return Long.parseLong(frame.replaceAll("(?s).* d=(\\d+) .*", "$1"));
    }

    void assertNothingHeld() throws Exception {
        await("an end of all queries", () -> gatherer.openQueriesAndParts() == 0);
        assertEquals(0, gatherer.openQueries());
    }
}
