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
 * SIGHUP that crosses something else in the real program: drains, queries under way and waiting, limits lowered, broken
 * files, another SIGHUP, a second process, SIGTERM. Whatever comes first, each query gets one answer, and the figures
 * that operators see are those that clients got.
 */
public class ReloadCrossingsTest {
    private static final String ANY = "{\"Name\":\"any\",\"Aim\":8000000,\"GiveUp\":9000000,\"LateWorth\":0.1,"
            + "\"Repeat\":\"free\",\"Worth\":1.0},";
    /** A query that is held while a process starts on a busy machine must have time for it. */
    private static final int HELD_MILLIS = 9_000;
    private static final List<String> CLASSES = List.of("any", "all", "once");

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new ArrayList<>();
    /** Answers of parts whose query's name begins with "held" wait for this. */
    private final CountDownLatch release = new CountDownLatch(1);
    private StandIn.Discovery discovery;
    private StandIn.Worker first;
    private StandIn.Worker second;
    private HeldSocket socket;
    private Path temporary;
    private String config;

    @Before
    public void standIns() throws Exception {
        socket = new HeldSocket();
        open.add(socket);
        discovery = new StandIn.Discovery();
        open.add(discovery);
        first = worker();
        second = worker();
        temporary = folder.newFolder("tmp").toPath();
        config = Program.config("t", Program.SEED, socket.port, discovery.port(), first.member("a", 0, "SERVING") + ","
                + second.member("b", 0, "SERVING"), 1024);
        config = with(with(config, "\"Aim\":1000000", "\"Aim\":8000000"), "\"GiveUp\":2000000", "\"GiveUp\":9000000");
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    private StandIn.Worker worker() throws IOException {
        var worker = new StandIn.Worker(id -> {
            try {
                return id.startsWith("held") && !release.await(10, TimeUnit.SECONDS) ? null : "ok";
            } catch (InterruptedException e) {
                return null;
            }
        });
        worker.delayMillis = id -> id.startsWith("held") ? 0 : 5;
        open.add(worker);
        return worker;
    }

    private HeldSocket.Run start() throws Exception {
        HeldSocket.Run run = socket.start(temporary, config);
        run.awaitReady();
        return run;
    }

    private static String with(String text, String was, String is) {
        assertTrue(was, text.contains(was));
        return text.replace(was, is);
    }

    /** Whether all that was taken has ended, and as many of each class ended in each way as clients were told of. */
    private static void assertFiguresAreWhatClientsGot(HeldSocket.Run run, Map<String, Integer> got) throws Exception {
        Program.await("nothing in flight", () -> run.admin().figure("in_flight") == 0);
        Map<String, Long> figures = run.admin().vars();
        for (String name : CLASSES) {
            assertEquals("served " + name + " of " + got, (long) got.getOrDefault(name + " 200", 0),
                    (long) figures.getOrDefault("served." + name, 0L));
            assertEquals("refused " + name + " of " + got, (long) got.getOrDefault(name + " 503", 0),
                    (long) figures.getOrDefault("refused." + name, 0L));
            assertEquals("failed " + name + " of " + got, (long) got.getOrDefault(name + " 502", 0)
                    + got.getOrDefault(name + " 504", 0), (long) figures.getOrDefault("failed." + name, 0L));
        }
    }

    private Client asks(String id, String queryClass) throws IOException {
        var client = new Client(socket.port).send(Client.query(id, queryClass, HELD_MILLIS, 0));
        open.add(client);
        return client;
    }

    private static boolean isReload(HeldSocket.Run run, long taken, long failed) {
        return run.admin().figure("reloads_ok") == taken && run.admin().figure("reloads_failed") == failed;
    }

    /** Under load: files with and without a class, broken ones and lowered limits, and drains told at the same time. */
    @Test(timeout = 90_000)
    public void reloadsAndDrainsUnderLoadLeaveTheFiguresWhatClientsGot() throws Exception {
        HeldSocket.Run run = start();
        String lower = with(with(config, "\"MaxOpen\":60", "\"MaxOpen\":6"), "\"MaxAttempts\":4", "\"MaxAttempts\":1");
        String fewer = with(with(lower, ANY, ""), "[0.5,1.0,1.0]", "[1.0,1.0]").replace("[0.9,0.9,0.9]", "[0.9,0.9]")
                .replace("[0,0,0]", "[0,0]");
        List<String> files = List.of(lower, config.substring(0, config.length() / 2), config, fewer, "", config);
        int taken = 0;
        int failed = 0;
        try (var load = new SteadyLoad(socket.port, 16, 2, CLASSES, 0)) {
            for (int i = 0; i < 18; i++) {
                String file = files.get(i % files.size());
                boolean sound = file.endsWith("}");
                taken += sound ? 1 : 0;
                failed += sound ? 0 : 1;
                int ok = taken;
                int bad = failed;
                String phase = i % 2 == 0 ? "DRAINING" : "SERVING";
                var drains = new Thread(() -> discovery.send("{\"revision\":" + (50 + ok + bad)
                        + ",\"complete\":false,\"members\":[" + first.member("a", 0, phase) + "]}"));
                drains.start();
                run.reload(file);
                drains.join();
                Program.await("read " + ok + " " + bad, () -> isReload(run, ok, bad));
            }
            load.stop();
            assertEquals(List.of(), List.copyOf(load.unexpectedAnswers));
            assertEquals("all were answered: " + load.counts(), 0, load.broken(0, System.nanoTime()).size());
            assertFiguresAreWhatClientsGot(run, load.counts());
        }
    }

    /** A drain told while a query is held at the worker, and the class gone from the file meanwhile, in both orders. */
    private void drainAndReload(boolean reloadFirst) throws Exception {
        HeldSocket.Run run = start();
        Client held = asks("held-1", "any");
        Program.await("out", () -> first.count("Qheld-1") + second.count("Qheld-1") == 1);
        StandIn.Worker at = first.count("Qheld-1") == 1 ? first : second;
        StandIn.Worker other = at == first ? second : first;
        String drain = "{\"revision\":50,\"complete\":true,\"members\":["
                + at.member(at == first ? "a" : "b", 0, "DRAINING")
                + "," + other.member(at == first ? "b" : "a", 0, "SERVING") + "]}";
        String fewer = with(with(config, ANY, ""), "[0.5,1.0,1.0]", "[1.0,1.0]").replace("[0.9,0.9,0.9]", "[0.9,0.9]")
                .replace("[0,0,0]", "[0,0]");
        for (boolean reload : new boolean[] {reloadFirst, !reloadFirst}) {
            if (reload) {
                run.reload(with(fewer, "\"MaxAttempts\":4", "\"MaxAttempts\":1"));
                Program.await("taken", () -> isReload(run, 1, 0));
            } else {
                discovery.send(drain);
                Thread.sleep(2_000 / 10); // the grace is ten times as long
            }
        }
        long before = at.count("Q");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, Client.post(socket.port, "new" + i, "all", 1900, 0).status);
        }
        assertEquals("the drain holds", before, at.count("Q"));
        assertEquals("gone", 400, Client.post(socket.port, "gone", "any", 1900, 0).status);
        release.countDown();
        assertEquals("with the class that it came with", 200, held.answer().status);
        assertFiguresAreWhatClientsGot(run, Map.of("any 200", 1, "all 200", 10));
    }

    @Test(timeout = 60_000)
    public void aClassVanishesAndThenItsWorkerDrainsWithAQueryUnderWay() throws Exception {
        drainAndReload(true);
    }

    @Test(timeout = 60_000)
    public void aWorkerDrainsAndThenTheClassOfItsQueryVanishes() throws Exception {
        drainAndReload(false);
    }

    /** The limit is lowered under what is held: what is held stays, nothing more is taken until it ends. */
    @Test(timeout = 60_000)
    public void aLimitLoweredBelowWhatIsHeldRefusesNewOnesAndLosesNone() throws Exception {
        HeldSocket.Run run = start();
        var held = new ArrayList<Client>();
        for (int i = 0; i < 4; i++) {
            held.add(asks("held-" + i, "all"));
        }
        Program.await("taken", () -> run.admin().figure("in_flight") == 4);
        run.reload(with(config, "\"MaxOpen\":60", "\"MaxOpen\":4"));
        Program.await("taken", () -> isReload(run, 1, 0));
        assertEquals("held are twice as many as there may be", 503,
                Client.post(socket.port, "more", "all", 1900, 0).status);
        release.countDown();
        for (Client c : held) {
            assertEquals(200, c.answer().status);
        }
        assertEquals("room again", 200, Client.post(socket.port, "after", "all", 1900, 0).status);
        assertFiguresAreWhatClientsGot(run, Map.of("all 200", 5, "all 503", 1));
    }

    /** Two at once, the second with another file: what holds in the end is the file that is there. */
    @Test(timeout = 60_000)
    public void ofTwoSignalsAtOnceTheLastFileHolds() throws Exception {
        HeldSocket.Run run = start();
        String renamed = with(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        for (int i = 0; i < 10; i++) {
            Path whole = Files.writeString(folder.newFile().toPath(),
                    Program.withAdmin(i % 2 == 0 ? config : renamed, run.admin().port()));
            Files.move(whole, run.file(), StandardCopyOption.ATOMIC_MOVE); // read before, it would be half a file
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

    /** The old process is on its way out, and the new one has just been started: both are told. */
    @Test(timeout = 60_000)
    public void aSignalReachesTheOldProcessAsItLeavesAndTheNewOneAsItStarts() throws Exception {
        HeldSocket.Run old = start();
        Client held = asks("held-1", "all");
        Program.await("out", () -> first.count("Qheld-1") + second.count("Qheld-1") == 1);
        HeldSocket.Run next = socket.start(temporary, config);
        String renamed = with(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        Files.writeString(next.file(), renamed); // read at its start or after its signal, whichever comes first
        Program.await("it has begun", () -> !next.logText().isEmpty() || next.admin().ready());
        next.signal("HUP");
        next.awaitReady();
        old.signal("TERM");
        Program.await("told", () -> old.logText().contains("told to leave"));
        old.reload(renamed);
        Program.await("read on its way out", () -> old.logText().contains("configuration read again"));
        assertEquals(200, Client.post(socket.port, "f", "fresh", 1900, 0).status);
        release.countDown();
        assertEquals("taken by the old one before", 200, held.answer().status);
        old.end().get(10, TimeUnit.SECONDS);
        assertEquals(200, Client.post(socket.port, "g", "fresh", 1900, 0).status);
        assertTrue(next.isRunning());
    }
}
