package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/** Signals and a discovery that is of no help while the real program starts. */
public class StartCrossingsTest {
    /** The platform's terms for a restart; a start here takes a second or two. */
    private static final long READY_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 300;
    /** The longest time that a client of {@link Program#SETTINGS} waits, and 0.7 s. */
    private static final long LEAVE_MILLIS = 2_700;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    private StandIn.Worker worker;
    private StandIn.Discovery discovery;
    private Admin admin;
    private int port;

    @Before
    public void standIns() throws Exception {
        worker = new StandIn.Worker(id -> "ok");
        open.add(worker);
        discovery = new StandIn.Discovery();
        open.add(discovery);
        admin = new Admin(Ports.free());
        port = Ports.free();
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    private String config(int list) {
        return Program.withAdmin(Program.config("t", Program.SEED, port, list, worker.member("a", 0, "SERVING"), 1024),
                admin.port());
    }

    private Process start(Path config, Path operator) throws IOException {
        var builder = new ProcessBuilder(Program.command());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        if (operator != null) {
            builder.environment().put("WALLMOOR_OPERATOR", operator.toString());
        }
        Process process = builder.start();
        open.add(0, () -> process.destroyForcibly().onExit().join());
        Program.read(process, log);
        return process;
    }

    private Process start(int list) throws IOException {
        return start(Files.writeString(folder.newFile().toPath(), config(list)), null);
    }

    /** Answers all calls that wait at this socket, and those that come, by a watch on which nothing has changed. */
    private void tellAll(ServerSocket held) {
        try {
            while (true) {
                Socket call = held.accept();
                open.add(call);
                call.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n".getBytes(UTF_8));
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    /** A port where connects are taken and nothing is ever said. */
    private int silentDiscovery() throws IOException {
        var socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        open.add(socket);
        return socket.getLocalPort();
    }

    /** The file is read, then replaced and SIGHUP sent, and only then the start goes on: held up by the second file. */
    @Test(timeout = 60_000)
    public void aHangUpBetweenTheFilesReadingAndTheGathererIsObeyed() throws Exception {
        Path config = Files.writeString(folder.newFile("config.json").toPath(), config(silentDiscovery()));
        Path fifo = folder.getRoot().toPath().resolve("operator.yaml");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        Process process = start(config, fifo);
        try (var held = Files.newOutputStream(fifo)) { // opened here once it is opened there: the first file is read
            Files.writeString(config, config(discovery.port()));
            Program.signal(process, "HUP");
            Thread.sleep(SETTLE_MILLIS);
            held.write("logging: {}\n".getBytes(UTF_8));
        }
        var again = new Thread(() -> {
            try {
                Files.writeString(fifo, "logging: {}\n"); // each reading of the file waits for one writing
            } catch (IOException e) {
                // it is not read again
            }
        });
        again.setDaemon(true);
        again.start();
        Program.await("the discovery of the new file is asked: " + log, () -> discovery.count("GET /api/targets") > 0);
        Program.await("ready", admin::ready);
    }

    private void readyWithin(long millis, Process process) throws Exception {
        long begun = System.nanoTime();
        Program.await("ready", admin::ready);
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue("ready after " + took + " ms", took < millis);
        assertEquals("by the list as last known", 200, Client.post(port, "q", "all", 1900, 0).status);
        assertTrue(process.isAlive());
    }

    @Test(timeout = 60_000)
    public void isReadyThoughDiscoveryRefuses() throws Exception {
        readyWithin(READY_MILLIS, start(Ports.free()));
    }

    @Test(timeout = 60_000)
    public void isReadyThoughDiscoverySaysNothing() throws Exception {
        readyWithin(READY_MILLIS, start(silentDiscovery()));
    }

    @Test(timeout = 60_000)
    public void isReadyBesideNobodyOnAnInheritedSocketThoughDiscoverySaysNothing() throws Exception {
        var socket = new HeldSocket();
        open.add(0, socket);
        HeldSocket.Run run = socket.start(folder.newFolder("tmp").toPath(),
                Program.config("t", Program.SEED, socket.port,
                        silentDiscovery(), worker.member("a", 0, "SERVING"), 1024));
        long took = run.awaitReady();
        assertTrue("ready after " + took + " ms", took < READY_MILLIS);
        assertEquals(200, Client.post(socket.port, "q", "all", 1900, 0).status);
    }

    /**
     * It waits for the list, is told to leave, and then the list comes: its yes would bring clients to one that ends.
     */
    @Test(timeout = 60_000)
    public void toldToLeaveBeforeItIsReadyItNeverSaysYes() throws Exception {
        var socket = new HeldSocket();
        open.add(0, socket);
        var held = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        open.add(held);
        HeldSocket.Run run = socket.start(folder.newFolder("tmp").toPath(),
                Program.config("t", Program.SEED, socket.port,
                        held.getLocalPort(), worker.member("a", 0, "SERVING"), 1024));
        Program.await("operators are answered", () -> {
            try {
                return Client.get(run.admin().port(), "/_vars").status == 200;
            } catch (IOException e) {
                return false;
            }
        });
        assertFalse("not heard from the list", run.admin().ready());
        run.signal("TERM");
        Program.await("told", () -> run.logText().contains("told to leave"));
        var discoveryAtLast = new Thread(() -> tellAll(held));
        discoveryAtLast.setDaemon(true);
        discoveryAtLast.start();
        while (run.isRunning()) {
            assertFalse("on its way out it says yes", run.admin().ready());
            Thread.sleep(20);
        }
        run.end().get(1, TimeUnit.SECONDS);
    }

    @Test(timeout = 60_000)
    public void aSecondSignalToLeaveChangesNothing() throws Exception {
        worker.delayMillis = id -> id.startsWith("under-way") ? 400 : 0;
        Process process = start(discovery.port());
        Program.await("ready", admin::ready);
        try (var client = new Client(port)) {
            for (int i = 0; i < 5; i++) { // a first answer alone would be the measure of all
                assertEquals(200, client.send(Client.query("w" + i, "all", 1900, 0)).answer().status);
            }
            client.send(Client.query("under-way", "all", 1900, 0));
            Program.await("out", () -> worker.count("Qunder-way") == 1);
            Program.signal(process, "TERM");
            Program.await("told", () -> log.stream().anyMatch(l -> l.contains("told to leave")));
            Program.signal(process, "TERM");
            Program.signal(process, "HUP");
            assertEquals(200, client.answer().status);
            var later = client.send(Client.query("later", "all", 1900, 0)).answer();
            assertEquals("clients go on on what they have: " + later.head, 200, later.status);
        }
        assertTrue(process.waitFor(LEAVE_MILLIS + 1_000, TimeUnit.MILLISECONDS));
        assertEquals("told to leave once", 1, log.stream().filter(l -> l.contains("told to leave")).count());
    }
}
