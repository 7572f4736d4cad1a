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
    private final List<GathererProcess> all = new ArrayList<>();
    private final LogCapture log = new LogCapture("wallmoor.operator");
    private Path bansFile;

    /** A gatherer as far as the address sees one. */
    private static final class GathererProcess implements OperatorControls {
        final Set<String> out = ConcurrentHashMap.newKeySet();
        final BanRegister bans = new BanRegister();
        final InetSocketAddress at;
        final OperatorServer address;
        volatile boolean ready = true;
        volatile boolean listed = true;

        GathererProcess(Path directory) throws IOException {
            at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
            address = new OperatorServer(at, 32, this, bans, directory == null ? null : new BanFile(directory),
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
                out.add(id);
            } else {
                out.remove(id);
            }
        }

        /** One call on a connection of its own; the whole answer, up to the connection's end. */
        String call(String method, String path, String body) throws IOException {
            try (var socket = new Socket(at.getAddress(), at.getPort())) {
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
    public void directory() {
        bansFile = folder.getRoot().toPath().resolve("bans");
    }

    @After
    public void end() {
        all.forEach(p -> p.address.close());
        log.close();
    }

    private GathererProcess process(Path directory) throws IOException {
        var process = new GathererProcess(directory);
        all.add(process);
        process.address.start();
        return process;
    }

    private interface Call {
        void run() throws IOException;
    }

    private static void timely(Call call) throws IOException {
        long from = System.nanoTime();
        call.run();
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        assertTrue("took " + took + " ms", took < 1_000);
    }

    private static void within(String what, BooleanSupplier holds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
        while (!holds.getAsBoolean()) {
            assertTrue(what, System.nanoTime() < until);
            Thread.sleep(20);
        }
    }

    @Test
    public void eachCallIsAnsweredAndHolds() throws Exception {
        GathererProcess p = process(null);
        p.expect(200, "ready", "GET", "/_ready", "");
        p.ready = false;
        p.expect(503, "not ready", "GET", "/_ready", "");
        p.expect(200, "gatherer.in_flight=14\n", "GET", "/_vars", "");
        p.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        assertEquals(Set.of("w1"), p.out);
        p.expect(200, "as before", "PUT", "/_workers/detach", " w1\r\n");
        p.expect(200, "w1", "PUT", "/_workers/attach", "w1\n");
        assertEquals(Set.of(), p.out);
        p.expect(200, "as before", "PUT", "/_workers/attach", "w1");
    }

    @Test
    public void whatIsNoCallIsTurnedAwayWithWhatToDo() throws Exception {
        GathererProcess p = process(null);
        p.expect(404, "GET /_vars", "GET", "/", "");
        p.expect(404, "GET /_vars", "PUT", "/_workers/detach/w1", "w1");
        p.expect(405, "Allow: GET\r\n", "PUT", "/_ready", "");
        p.expect(405, "Allow: PUT\r\n", "GET", "/_workers/attach", "");
        p.expect(400, "without one", "GET", "/_vars", "w1");
        for (String body : List.of("", "  \r\n", "w1 w2", "w1\nw2", "w\u00e4", "w".repeat(129))) {
            p.expect(400, "one worker's id", "PUT", "/_workers/detach", body);
        }
        p.expect(404, "node list", "PUT", "/_workers/detach", "x1");
        p.expect(404, "node list", "PUT", "/_workers/attach", "x1");
        p.expect(413, "too large", "PUT", "/_workers/detach", "w".repeat(70_000));
        assertEquals(Set.of(), p.out);
        p.expect(200, "ready", "GET", "/_ready", "");
    }

    @Test
    public void callersThatFinishNoCallHarmNobody() throws Exception {
        GathererProcess p = process(null);
        var hanging = new ArrayList<Socket>();
        try {
            for (int crowd : new int[] {10, 100}) { // fewer than there may be, and more
                for (int i = 0; i < crowd; i++) {
                    var socket = new Socket(p.at.getAddress(), p.at.getPort());
                    hanging.add(socket);
                    if (i % 2 == 0) {
                        socket.getOutputStream().write("PUT /_workers/detach HTTP/1.1\r\nContent-Le".getBytes(UTF_8));
                    }
                }
                for (int i = 0; i < 5; i++) { // a second for each call is the promise
                    timely(() -> p.expect(200, "ready", "GET", "/_ready", ""));
                    String call = i % 2 == 0 ? "/_workers/detach" : "/_workers/attach";
                    timely(() -> p.expect(200, "w1", "PUT", call, "w1"));
                }
            }
        } finally {
            for (Socket socket : hanging) {
                socket.close();
            }
        }
    }

    @Test
    public void processesThatShareADirectoryComeToTheSameAndTheNextOneBeginsWithIt() throws Exception {
        GathererProcess old = process(folder.getRoot().toPath());
        old.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        GathererProcess next = new GathererProcess(folder.getRoot().toPath());
        all.add(next);
        assertEquals("before it serves", Set.of("w1"), next.out);
        next.address.start();
        next.listed = false;
        next.expect(404, "node list", "PUT", "/_workers/attach", "w2");
        next.expect(200, "as before", "PUT", "/_workers/detach", "w1");
        next.listed = true;
        next.expect(200, "w1", "PUT", "/_workers/attach", "w1");
        next.expect(200, "w2", "PUT", "/_workers/detach", "w2");
        old.expect(200, "w3", "PUT", "/_workers/detach", "w3");
        within("both hold the same", () -> old.out.equals(Set.of("w2", "w3")) && next.out.equals(old.out));
        within("and the file", () -> Set.copyOf(marks()).equals(Set.copyOf(old.bans.marks())));
        Files.delete(bansFile);
        within("which is written again", () -> Set.copyOf(marks()).equals(Set.copyOf(next.bans.marks())));
    }

    private List<BanMark> marks() {
        try {
            return BanFileCodec.decode(Files.readAllBytes(bansFile));
        } catch (java.nio.file.NoSuchFileException e) {
            return List.of();
        } catch (Exception e) {
            throw new AssertionError("a reader finds a whole file or none", e);
        }
    }

    @Test
    public void aFileThatIsNotOursIsNamedOnceAndReplacedByTheNextCall() throws Exception {
        GathererProcess p = process(folder.getRoot().toPath());
        p.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        byte[] whole = Files.readAllBytes(bansFile);
        Files.write(bansFile, java.util.Arrays.copyOf(whole, whole.length - 1));
        within("named", () -> log.lines().stream().anyMatch(l -> l.contains("is torn")));
        Thread.sleep(500); // some looks more
        assertEquals(1, log.lines().stream().filter(l -> l.contains("torn")).count());
        assertEquals(Set.of("w1"), p.out);
        p.expect(200, "w2", "PUT", "/_workers/detach", "w2");
        assertEquals(Set.copyOf(p.bans.marks()), Set.copyOf(marks()));
    }

    @Test
    public void aBanHoldsThoughItCannotBeKept() throws Exception {
        GathererProcess p = process(folder.getRoot().toPath().resolve("not-there"));
        p.expect(200, "w1", "PUT", "/_workers/detach", "w1");
        assertEquals(Set.of("w1"), p.out);
        assertTrue(log.lines().toString(),
                log.lines().stream().anyMatch(l -> l.contains("NoSuchFile") && l.contains("make the directory")));
        folder.newFolder("not-there");
        within("kept once it can be", () -> Files.exists(folder.getRoot().toPath().resolve("not-there/bans")));
    }
}
