package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/**
 * SIGHUP at the real program during other events: drains, queries in flight or waiting, lowered limits, broken files,
 * another SIGHUP, a second process, SIGTERM. In any order of events, each query gets one answer, and the metrics that
 * operators read match what clients received.
 */
public class ReloadCrossingsTest {
    private static final String ANY_CLASS_ENTRY = "{\"Name\":\"any\",\"Aim\":8000000,\"GiveUp\":9000000,"
            + "\"LateWorth\":0.1,\"Repeat\":\"free\",\"Worth\":1.0},";
    /** Deadline of queries whose answers are delayed; long enough for a process to start on a busy machine. */
    private static final int DELAYED_QUERY_MILLIS = 9_000;
    private static final List<String> CLASSES = List.of("any", "all", "once");

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> resources = new ArrayList<>();
    /** Delays the answers to queries whose id begins with {@code held}. */
    private final CountDownLatch release = new CountDownLatch(1);
    private StandIn.Discovery discovery;
    private StandIn.Worker first;
    private StandIn.Worker second;
    private HeldSocket socket;
    private Path temporary;
    private String config;

    @Before
    public void startStandIns() throws Exception {
        socket = new HeldSocket();
        resources.add(socket);
        discovery = new StandIn.Discovery();
        resources.add(discovery);
        first = startWorker();
        second = startWorker();
        temporary = folder.newFolder("tmp").toPath();
        config = Program.config("t", Program.SEED, socket.port, discovery.port(), first.member("a", 0, "SERVING") + ","
                + second.member("b", 0, "SERVING"), 1024);
        config = replace(replace(config, "\"Aim\":1000000", "\"Aim\":8000000"), "\"GiveUp\":2000000",
                "\"GiveUp\":9000000");
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private StandIn.Worker startWorker() throws IOException {
        var worker = new StandIn.Worker(id -> {
            try {
                return id.startsWith("held") && !release.await(10, TimeUnit.SECONDS) ? null : "ok";
            } catch (InterruptedException e) {
                return null;
            }
        });
        worker.delayMillis = id -> id.startsWith("held") ? 0 : 5;
        resources.add(worker);
        return worker;
    }

    private HeldSocket.Run start() throws Exception {
        HeldSocket.Run run = socket.start(temporary, config);
        run.awaitReady();
        return run;
    }

    private static String replace(String text, String target, String replacement) {
        assertTrue(target, text.contains(target));
        return text.replace(target, replacement);
    }

    /** Checks that no query is in flight and that the counts by class and outcome match what clients received. */
    private static void assertMetricsMatchClients(HeldSocket.Run run, Map<String, Integer> received) throws Exception {
        Program.await("nothing in flight", () -> run.admin().figure("in_flight") == 0);
        Map<String, Long> metrics = run.admin().vars();
        for (String name : CLASSES) {
            assertEquals("served " + name + " of " + received, (long) received.getOrDefault(name + " 200", 0),
                    (long) metrics.getOrDefault("served." + name, 0L));
            assertEquals("refused " + name + " of " + received, (long) received.getOrDefault(name + " 503", 0),
                    (long) metrics.getOrDefault("refused." + name, 0L));
            assertEquals("failed " + name + " of " + received, (long) received.getOrDefault(name + " 502", 0)
                    + received.getOrDefault(name + " 504", 0), (long) metrics.getOrDefault("failed." + name, 0L));
        }
    }

    private Client send(String id, String queryClass) throws IOException {
        var client = new Client(socket.port).send(Client.query(id, queryClass, DELAYED_QUERY_MILLIS, 0));
        resources.add(client);
        return client;
    }

    private static boolean hasReloadCounts(HeldSocket.Run run, long accepted, long rejected) {
        return run.admin().figure("reloads_ok") == accepted && run.admin().figure("reloads_failed") == rejected;
    }

    /** Reloads files without a class, with lowered limits and broken ones under load, each beside a drain update. */
    @Test(timeout = 90_000)
    public void metricsMatchClientsAfterReloadsAndDrainsUnderLoad() throws Exception {
        HeldSocket.Run run = start();
        String lower = replace(replace(config, "\"MaxOpen\":60", "\"MaxOpen\":6"), "\"MaxAttempts\":4",
                "\"MaxAttempts\":1");
        String fewer = replace(replace(lower, ANY_CLASS_ENTRY, ""), "[0.5,1.0,1.0]", "[1.0,1.0]")
                .replace("[0.9,0.9,0.9]", "[0.9,0.9]").replace("[0,0,0]", "[0,0]");
        List<String> files = List.of(lower, config.substring(0, config.length() / 2), config, fewer, "", config);
        int accepted = 0;
        int rejected = 0;
        try (var load = new SteadyLoad(socket.port, 16, 2, CLASSES, 0)) {
            for (int i = 0; i < 18; i++) {
                String file = files.get(i % files.size());
                boolean isValid = file.endsWith("}");
                accepted += isValid ? 1 : 0;
                rejected += isValid ? 0 : 1;
                int acceptedNow = accepted;
                int rejectedNow = rejected;
                String phase = i % 2 == 0 ? "DRAINING" : "SERVING";
                var drainUpdate = new Thread(() -> discovery.send("{\"revision\":" + (50 + acceptedNow + rejectedNow)
                        + ",\"complete\":false,\"members\":[" + first.member("a", 0, phase) + "]}"));
                drainUpdate.start();
                run.reload(file);
                drainUpdate.join();
                Program.await("read " + acceptedNow + " " + rejectedNow,
                        () -> hasReloadCounts(run, acceptedNow, rejectedNow));
            }
            load.stop();
            assertEquals(List.of(), List.copyOf(load.unexpectedAnswers));
            assertEquals("queries without an answer: " + load.counts(), 0, load.broken(0, System.nanoTime()).size());
            assertMetricsMatchClients(run, load.counts());
        }
    }

    /** Drains the worker of a query in flight and removes the class of the query, in either order. */
    private void drainAndReload(boolean reloadFirst) throws Exception {
        HeldSocket.Run run = start();
        Client delayed = send("held-1", "any");
        Program.await("the part is sent", () -> first.count("Qheld-1") + second.count("Qheld-1") == 1);
        StandIn.Worker queried = first.count("Qheld-1") == 1 ? first : second;
        StandIn.Worker other = queried == first ? second : first;
        String drain = "{\"revision\":50,\"complete\":true,\"members\":["
                + queried.member(queried == first ? "a" : "b", 0, "DRAINING")
                + "," + other.member(queried == first ? "b" : "a", 0, "SERVING") + "]}";
        String fewer = replace(replace(config, ANY_CLASS_ENTRY, ""), "[0.5,1.0,1.0]", "[1.0,1.0]")
                .replace("[0.9,0.9,0.9]", "[0.9,0.9]").replace("[0,0,0]", "[0,0]");
        for (boolean reload : new boolean[] {reloadFirst, !reloadFirst}) {
            if (reload) {
                run.reload(replace(fewer, "\"MaxAttempts\":4", "\"MaxAttempts\":1"));
                Program.await("accepted", () -> hasReloadCounts(run, 1, 0));
            } else {
                discovery.send(drain);
                Thread.sleep(2_000 / 10); // a tenth of the drain grace
            }
        }
        long before = queried.count("Q");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, Client.post(socket.port, "new" + i, "all", 1900, 0).status);
        }
        assertEquals("the drain stays in force", before, queried.count("Q"));
        assertEquals("the class is removed", 400, Client.post(socket.port, "gone", "any", 1900, 0).status);
        release.countDown();
        assertEquals("answered under its class on arrival", 200, delayed.answer().status);
        assertMetricsMatchClients(run, Map.of("any 200", 1, "all 200", 10));
    }

    @Test(timeout = 60_000)
    public void answersQueryWhoseClassIsRemovedBeforeItsWorkerDrains() throws Exception {
        drainAndReload(true);
    }

    @Test(timeout = 60_000)
    public void answersQueryWhoseWorkerDrainsBeforeItsClassIsRemoved() throws Exception {
        drainAndReload(false);
    }

    /** Queries in flight above a lowered limit are answered, and no new one is accepted until they end. */
    @Test(timeout = 60_000)
    public void refusesNewQueriesWhenLimitIsLoweredBelowThoseInFlight() throws Exception {
        HeldSocket.Run run = start();
        var delayed = new ArrayList<Client>();
        for (int i = 0; i < 4; i++) {
            delayed.add(send("held-" + i, "all"));
        }
        Program.await("accepted", () -> run.admin().figure("in_flight") == 4);
        run.reload(replace(config, "\"MaxOpen\":60", "\"MaxOpen\":4"));
        Program.await("accepted", () -> hasReloadCounts(run, 1, 0));
        assertEquals("above the new limit", 503,
                Client.post(socket.port, "more", "all", 1900, 0).status);
        release.countDown();
        for (Client c : delayed) {
            assertEquals(200, c.answer().status);
        }
        assertEquals("below the limit again", 200, Client.post(socket.port, "after", "all", 1900, 0).status);
        assertMetricsMatchClients(run, Map.of("all 200", 5, "all 503", 1));
    }

    /** Sends signals in quick succession, each after another file: the last file is in force in the end. */
    @Test(timeout = 60_000)
    public void appliesTheLastFileOfSeveralSignals() throws Exception {
        HeldSocket.Run run = start();
        String renamed = replace(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        for (int i = 0; i < 10; i++) {
            Path completeFile = Files.writeString(folder.newFile().toPath(),
                    Program.withAdmin(i % 2 == 0 ? config : renamed, run.admin().port()));
            Files.move(completeFile, run.file(), StandardCopyOption.ATOMIC_MOVE); // otherwise half a file could be read
            run.signal("HUP");
        }
        Program.await("the last file's class", () -> {
            try {
                return Client.post(socket.port, "f" + System.nanoTime(), "fresh", 1900, 0).status == 200;
            } catch (IOException e) {
                return false;
            }
        });
        assertEquals(400, Client.post(socket.port, "a", "any", 1900, 0).status);
        assertEquals("no file was broken", 0, run.admin().figure("reloads_failed"));
    }

    /** SIGHUP reaches the old process while it shuts down and the new one while it starts: both reload. */
    @Test(timeout = 60_000)
    public void reloadsInOldProcessThatLeavesAndInNewOneThatStarts() throws Exception {
        HeldSocket.Run old = start();
        Client delayed = send("held-1", "all");
        Program.await("the part is sent", () -> first.count("Qheld-1") + second.count("Qheld-1") == 1);
        HeldSocket.Run next = socket.start(temporary, config);
        String renamed = replace(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        Files.writeString(next.file(), renamed); // read at its start or after the signal, whichever comes first
        Program.await("the new process has started", () -> !next.logText().isEmpty() || next.admin().ready());
        next.signal("HUP");
        next.awaitReady();
        old.signal("TERM");
        Program.await("the old process handles SIGTERM", () -> old.logText().contains("told to leave"));
        old.reload(renamed);
        Program.await("the old process reloads", () -> old.logText().contains("configuration read again"));
        assertEquals(200, Client.post(socket.port, "f", "fresh", 1900, 0).status);
        release.countDown();
        assertEquals("accepted by the old process", 200, delayed.answer().status);
        old.end().get(10, TimeUnit.SECONDS);
        assertEquals(200, Client.post(socket.port, "g", "fresh", 1900, 0).status);
        assertTrue(next.isRunning());
    }
}
