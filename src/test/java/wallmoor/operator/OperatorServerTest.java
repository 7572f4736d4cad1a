package wallmoor.operator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.bans.BanFileCodec;
import wallmoor.bans.BanMark;
import wallmoor.bans.BanRegister;
import wallmoor.standin.LogCapture;
import wallmoor.standin.Ports;

/** The operators' address: requests, answers and bans. */
public class OperatorServerTest {
    private static final AtomicLong MICROS = new AtomicLong(1_000_000);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<GathererProcess> processes = new ArrayList<>();
    private final LogCapture log = new LogCapture("wallmoor.operator");
    private Path bansFile;

    /** A simulated gatherer behind the operators' address. */
    private static final class GathererProcess implements OperatorControls {
        final Set<String> bannedWorkers = ConcurrentHashMap.newKeySet();
        final BanRegister bans = new BanRegister();
        final InetSocketAddress address;
        final OperatorServer server;
        volatile boolean ready = true;
        volatile boolean listed = true;

        GathererProcess(Path directory) throws IOException {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
            server = new OperatorServer(address, 32, this, bans, directory == null ? null : new BanFile(directory),
                    MICROS::incrementAndGet);
        }

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public String metricsText() {
            return "gatherer.in_flight=14\n";
        }

        @Override
        public boolean isKnownWorker(String id) {
            return listed && id.matches("w[0-9]");
        }

        @Override
        public void setBanned(String id, boolean banned) {
            if (banned) {
                bannedWorkers.add(id);
            } else {
                bannedWorkers.remove(id);
            }
        }

        /** Sends a call on its own connection and returns the answer up to the end of the connection. */
        String call(String method, String path, String body) throws IOException {
            try (var socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(4_000);
                socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        void expect(int status, String text, String method, String path, String body) throws IOException {
            String answer = call(method, path, body);
            assertTrue(method + " " + path + ": " + answer, answer.startsWith("HTTP/1.1 " + status + " ")
                    && answer.contains("Connection: close\r\n") && answer.contains(text));
        }
    }

    @Before
    public void resolveBansFile() {
        bansFile = folder.getRoot().toPath().resolve("bans");
    }

    @After
    public void closeServers() {
        processes.forEach(p -> p.server.close());
        log.close();
    }

    private GathererProcess startProcess(Path directory) throws IOException {
        var process = new GathererProcess(directory);
        processes.add(process);
        process.server.start();
        return process;
    }

    private interface Call {
        void run() throws IOException;
    }

    private static void assertWithinOneSecond(Call call) throws IOException {
        long startNanos = System.nanoTime();
        call.run();
        long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue("took " + durationMillis + " ms", durationMillis < 1_000);
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
        while (!condition.getAsBoolean()) {
            assertTrue(expectation, System.nanoTime() < deadlineNanos);
            Thread.sleep(20);
        }
    }

    @Test
    public void answersEachCallAfterItTookEffect() throws Exception {
        GathererProcess process = startProcess(null);
        process.expect(200, "ready", "GET", "/_ready", "");
        process.ready = false;
        process.expect(503, "not ready", "GET", "/_ready", "");
        process.expect(200, "gatherer.in_flight=14\n", "GET", "/_vars", "");
        process.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        assertEquals(Set.of("w1"), process.bannedWorkers);
        process.expect(200, "as before", "PUT", "/_workers/detach", " w1\r\n");
        process.expect(200, "w1", "PUT", "/_workers/attach", "w1\n");
        assertEquals(Set.of(), process.bannedWorkers);
        process.expect(200, "as before", "PUT", "/_workers/attach", "w1");
    }

    @Test
    public void rejectsInvalidCallsWithInstructions() throws Exception {
        GathererProcess process = startProcess(null);
        process.expect(404, "GET /_vars", "GET", "/", "");
        process.expect(404, "GET /_vars", "PUT", "/_workers/detach/w1", "w1");
        process.expect(405, "Allow: GET\r\n", "PUT", "/_ready", "");
        process.expect(405, "Allow: PUT\r\n", "GET", "/_workers/attach", "");
        process.expect(400, "without one", "GET", "/_vars", "w1");
        for (String body : List.of("", "  \r\n", "w1 w2", "w1\nw2", "w\u00e4", "w".repeat(129))) {
            process.expect(400, "one worker's id", "PUT", "/_workers/detach", body);
        }
        process.expect(404, "node list", "PUT", "/_workers/detach", "x1");
        process.expect(404, "node list", "PUT", "/_workers/attach", "x1");
        process.expect(413, "too large", "PUT", "/_workers/detach", "w".repeat(70_000));
        assertEquals(Set.of(), process.bannedWorkers);
        process.expect(200, "ready", "GET", "/_ready", "");
    }

    @Test
    public void answersWithinOneSecondDespiteHangingCallers() throws Exception {
        GathererProcess process = startProcess(null);
        var hanging = new ArrayList<Socket>();
        try {
            for (int count : new int[] {10, 100}) { // below and above the maximum of 32 callers
                for (int i = 0; i < count; i++) {
                    var socket = new Socket(process.address.getAddress(), process.address.getPort());
                    hanging.add(socket);
                    if (i % 2 == 0) {
                        socket.getOutputStream().write("PUT /_workers/detach HTTP/1.1\r\nContent-Le".getBytes(UTF_8));
                    }
                }
                for (int i = 0; i < 5; i++) { // each call must be answered within a second
                    assertWithinOneSecond(() -> process.expect(200, "ready", "GET", "/_ready", ""));
                    String path = i % 2 == 0 ? "/_workers/detach" : "/_workers/attach";
                    assertWithinOneSecond(() -> process.expect(200, "w1", "PUT", path, "w1"));
                }
            }
        } finally {
            for (Socket socket : hanging) {
                socket.close();
            }
        }
    }

    @Test
    public void processesWithASharedDirectoryAgreeOnBansFromTheStart() throws Exception {
        GathererProcess old = startProcess(folder.getRoot().toPath());
        old.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        GathererProcess next = new GathererProcess(folder.getRoot().toPath());
        processes.add(next);
        assertEquals("bans of the file before it serves", Set.of("w1"), next.bannedWorkers);
        next.server.start();
        next.listed = false;
        next.expect(404, "node list", "PUT", "/_workers/attach", "w2");
        next.expect(200, "as before", "PUT", "/_workers/detach", "w1");
        next.listed = true;
        next.expect(200, "w1", "PUT", "/_workers/attach", "w1");
        next.expect(200, "w2", "PUT", "/_workers/detach", "w2");
        old.expect(200, "w3", "PUT", "/_workers/detach", "w3");
        await("both processes have the same bans",
                () -> old.bannedWorkers.equals(Set.of("w2", "w3")) && next.bannedWorkers.equals(old.bannedWorkers));
        await("the file has the same marks", () -> Set.copyOf(marks()).equals(Set.copyOf(old.bans.marks())));
        Files.delete(bansFile);
        await("the deleted file is written again", () -> Set.copyOf(marks()).equals(Set.copyOf(next.bans.marks())));
    }

    private List<BanMark> marks() {
        try {
            return BanFileCodec.decode(Files.readAllBytes(bansFile));
        } catch (java.nio.file.NoSuchFileException e) {
            return List.of();
        } catch (Exception e) {
            throw new AssertionError("the bans file is neither complete nor missing", e);
        }
    }

    @Test
    public void logsATornFileOnceAndReplacesItAtTheNextCall() throws Exception {
        GathererProcess process = startProcess(folder.getRoot().toPath());
        process.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        byte[] complete = Files.readAllBytes(bansFile);
        Files.write(bansFile, java.util.Arrays.copyOf(complete, complete.length - 1));
        await("the torn file is logged", () -> log.lines().stream().anyMatch(l -> l.contains("is torn")));
        Thread.sleep(500); // time for further checks of the file
        assertEquals(1, log.lines().stream().filter(l -> l.contains("torn")).count());
        assertEquals(Set.of("w1"), process.bannedWorkers);
        process.expect(200, "w2", "PUT", "/_workers/detach", "w2");
        assertEquals(Set.copyOf(process.bans.marks()), Set.copyOf(marks()));
    }

    @Test
    public void banTakesEffectThoughTheFileIsNotWritable() throws Exception {
        GathererProcess process = startProcess(folder.getRoot().toPath().resolve("not-there"));
        process.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        assertEquals(Set.of("w1"), process.bannedWorkers);
        assertTrue(log.lines().toString(),
                log.lines().stream().anyMatch(l -> l.contains("NoSuchFile") && l.contains("make the directory")));
        folder.newFolder("not-there");
        await("the file is written once its directory exists",
                () -> Files.exists(folder.getRoot().toPath().resolve("not-there/bans")));
    }
}
