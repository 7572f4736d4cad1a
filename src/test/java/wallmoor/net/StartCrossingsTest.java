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
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/**
 * Tests the start of the real program: signals that arrive during it, a discovery service that refuses connections or
 * never answers, and the graceful shutdown.
 */
public class StartCrossingsTest {
    /** The time in which the platform expects a restarted process to be ready. */
    private static final long READY_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 300;
    /** The longest client timeout in {@link Program#SETTINGS}, and 0.7 s. */
    private static final long SHUTDOWN_MILLIS = 2_700;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    private StandIn.Worker worker;
    private StandIn.Discovery discovery;
    private Admin admin;
    private int port;

    @Before
    public void startStandIns() throws Exception {
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

    private String config(int discoveryPort) {
        return Program.withAdmin(
                Program.config("t", Program.SEED, port, discoveryPort, worker.member("a", 0, "SERVING"), 1024),
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

    private Process start(int discoveryPort) throws IOException {
        return start(Files.writeString(folder.newFile().toPath(), config(discoveryPort)), null);
    }

    /** Answers each waiting and later connection of this socket with a watch that carries one heartbeat. */
    private void answerWatches(ServerSocket server) {
        try {
            while (true) {
                Socket call = server.accept();
                open.add(call);
                call.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n".getBytes(UTF_8));
            }
        } catch (IOException e) {
            // the socket is closed: the test has ended
        }
    }

    /** Returns a port on which connections are established and never answered. */
    private int unresponsiveDiscovery() throws IOException {
        var socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        open.add(socket);
        return socket.getLocalPort();
    }

    /**
     * Guards against a SIGHUP that is lost when it arrives after the configuration file was read and before the
     * gatherer runs. The operator's file is a FIFO, which blocks the start at that point.
     */
    @Test(timeout = 60_000)
    public void reloadsOnAHangUpBetweenReadingTheFileAndStartingTheGatherer() throws Exception {
        Path config = Files.writeString(folder.newFile("config.json").toPath(), config(unresponsiveDiscovery()));
        Path fifo = folder.getRoot().toPath().resolve("operator.yaml");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        Process process = start(config, fifo);
        try (var writer = Files.newOutputStream(fifo)) { // blocks until the program opens it, after the first file
            // The reload reads a file of its own: what a second writer of the FIFO wrote could end up in this read.
            Files.move(folder.newFile("reloaded.yaml").toPath(), fifo, StandardCopyOption.REPLACE_EXISTING);
            Files.writeString(config, config(discovery.port()));
            Program.signal(process, "HUP");
            Thread.sleep(SETTLE_MILLIS);
            writer.write("logging: {}\n".getBytes(UTF_8));
        }
        Program.await("request to the new discovery", () -> discovery.count("GET /api/targets") > 0);
        Program.await("ready", admin::ready);
    }

    private void assertReadyWithin(long millis, Process process) throws Exception {
        long begun = System.nanoTime();
        Program.await("ready", admin::ready);
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue("ready after " + took + " ms", took < millis);
        assertEquals("by the list of the configuration file", 200, Client.post(port, "q", "all", 1900, 0).status);
        assertTrue(process.isAlive());
    }

    @Test(timeout = 60_000)
    public void isReadyWhenDiscoveryRefusesConnections() throws Exception {
        assertReadyWithin(READY_MILLIS, start(Ports.free()));
    }

    @Test(timeout = 60_000)
    public void isReadyWhenDiscoveryDoesNotAnswer() throws Exception {
        assertReadyWithin(READY_MILLIS, start(unresponsiveDiscovery()));
    }

    @Test(timeout = 60_000)
    public void isReadyAloneOnAnInheritedSocketWhenDiscoveryDoesNotAnswer() throws Exception {
        var socket = new HeldSocket();
        open.add(0, socket);
        HeldSocket.Run run = socket.start(folder.newFolder("tmp").toPath(),
                Program.config("t", Program.SEED, socket.port,
                        unresponsiveDiscovery(), worker.member("a", 0, "SERVING"), 1024));
        long took = run.awaitReady();
        assertTrue("ready after " + took + " ms", took < READY_MILLIS);
        assertEquals(200, Client.post(socket.port, "q", "all", 1900, 0).status);
    }

    /**
     * Guards against a process that reports ready after SIGTERM, which would bring clients to a process that ends. It
     * gets SIGTERM while it waits for the list, and the list afterwards.
     */
    @Test(timeout = 60_000)
    public void neverReportsReadyAfterSigtermDuringTheStart() throws Exception {
        var socket = new HeldSocket();
        open.add(0, socket);
        var delayedDiscovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        open.add(delayedDiscovery);
        HeldSocket.Run run = socket.start(folder.newFolder("tmp").toPath(),
                Program.config("t", Program.SEED, socket.port,
                        delayedDiscovery.getLocalPort(), worker.member("a", 0, "SERVING"), 1024));
        Program.await("the operators' port answers", () -> {
            try {
                return Client.get(run.admin().port(), "/_vars").status == 200;
            } catch (IOException e) {
                return false;
            }
        });
        assertFalse("ready before the list arrived", run.admin().ready());
        run.signal("TERM");
        Program.await("shutdown logged", () -> run.logText().contains("told to leave"));
        var discoveryAnswers = new Thread(() -> answerWatches(delayedDiscovery));
        discoveryAnswers.setDaemon(true);
        discoveryAnswers.start();
        while (run.isRunning()) {
            assertFalse("ready during the shutdown", run.admin().ready());
            Thread.sleep(20);
        }
        run.end().get(1, TimeUnit.SECONDS);
    }

    @Test(timeout = 60_000)
    public void ignoresASecondSigtermDuringTheShutdown() throws Exception {
        worker.delayMillis = id -> id.startsWith("under-way") ? 400 : 0;
        Process process = start(discovery.port());
        Program.await("ready", admin::ready);
        try (var client = new Client(port)) {
            for (int i = 0; i < 5; i++) { // one answer alone would decide the expected response time
                assertEquals(200, client.send(Client.query("w" + i, "all", 1900, 0)).answer().status);
            }
            client.send(Client.query("under-way", "all", 1900, 0));
            Program.await("the part is sent", () -> worker.count("Qunder-way") == 1);
            Program.signal(process, "TERM");
            Program.await("shutdown logged", () -> log.stream().anyMatch(l -> l.contains("told to leave")));
            Program.signal(process, "TERM");
            Program.signal(process, "HUP");
            assertEquals(200, client.answer().status);
            var later = client.send(Client.query("later", "all", 1900, 0)).answer();
            assertEquals("an open connection is still served: " + later.head, 200, later.status);
        }
        assertTrue(process.waitFor(SHUTDOWN_MILLIS + 1_000, TimeUnit.MILLISECONDS));
        assertEquals("shutdowns logged", 1, log.stream().filter(l -> l.contains("told to leave")).count());
    }
}
