package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.After;
import org.junit.Test;

/** The real program as a process, between stand-ins for clients, workers and discovery. */
public class PlatformTest {
    private final List<AutoCloseable> resources = new ArrayList<>();
    private Program program;
    private StandIn.Discovery discovery;

    private StandIn.Worker startWorker(Function<String, String> answer) throws IOException {
        var worker = new StandIn.Worker(answer);
        resources.add(worker);
        return worker;
    }

    /** Shards 0 and 2 are in cell 0, shards 1 and 3 in cell 1. */
    private void start(String... members) throws Exception {
        discovery = new StandIn.Discovery();
        resources.add(discovery);
        program = new Program(discovery.port(), String.join(",", members), null);
        resources.add(program);
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    @Test
    public void splitsAndAnswersQueries() throws Exception {
        var even = startWorker(id -> "ok");
        var odd = startWorker(id -> "ok");
        start(even.member("a", 0, "SERVING"), odd.member("b", 1, "SERVING"));
        try (var client = new Client(program.port)) {
            // poor links often deliver a request in pieces
            String query = Client.query("q1", "all", 1900, 0, 1);
            for (int i = 0; i < query.length(); i += 40) {
                client.send(query.substring(i, Math.min(query.length(), i + 40)));
                Thread.sleep(5);
            }
            var answer = client.answer();
            assertEquals(200, answer.status);
            assertEquals(
                    "{\"complete\":true,\"hits\":[{\"shard\":0,\"doc\":\"vq1.0\"},{\"shard\":1,\"doc\":\"vq1.1\"}]}",
                    answer.body);
            String body = Client.body(3);
            client.send("POST /api HTTP/1.1\r\nX-Request-Id: q2\r\nX-Class: once\r\nX-Deadline: 1900000u\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body.substring(0, 5) + "\r\n"
                    + Integer.toHexString(body.length() - 5) + "\r\n" + body.substring(5) + "\r\n0\r\n\r\n");
            assertEquals("{\"complete\":true,\"hits\":[{\"shard\":3,\"doc\":\"vq2.3\"}]}", client.answer().body);
        }
        assertTrue(even.seen.get(1).matches("(?s)Qq1\\.0 0 d=\\d+ 8\nc41e77d0"));
        assertEquals("one connection carries all parts", 1, odd.count("open"));
    }

    @Test
    public void rejectsBadInputAndKeepsServing() throws Exception {
        start(startWorker(id -> "ok").member("a", 0, "SERVING"));
        String[] bad = {"nonsense\r\n\r\n", "POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "POST /api HTTP/1.1\r\nno colon\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            "GET /api HTTP/1.1\r\n\r\n", "GET /other HTTP/1.1\r\n\r\n", Client.query("x", "nobody", 500, 0),
            Client.query("x", "all", 500, 0).replace("\"q\"", "?q\""), Client.query("x", "all", 500, 77),
            "GET / HTTP/1.1\r\nLong: " + "x".repeat(20_000) + "\r\n\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFF\r\n"};
        int[] status = {400, 400, 413, 400, 400, 405, 404, 400, 400, 400, 431, 413};
        for (int i = 0; i < bad.length; i++) {
            try (var client = new Client(program.port)) {
                assertEquals(bad[i], status[i], client.send(bad[i]).answer().status);
            }
        }
        assertEquals(200, Client.post(program.port, "q", "all", 1900, 0).status);
    }

    @Test
    public void resendsFailedPartOnlyWhereItsClassAllows() throws Exception {
        var fails = new AtomicInteger();
        Function<String, String> first = id -> id.startsWith("busy") && fails.incrementAndGet() == 1 ? "busy"
                : id.startsWith("err") && fails.incrementAndGet() == 1 ? "err"
                        : id.startsWith("break") && fails.incrementAndGet() == 1 ? "break"
                                : id.startsWith("garbage") && fails.incrementAndGet() == 1 ? "garbage" : "ok";
        var one = startWorker(first);
        var other = startWorker(first);
        start(one.member("a", 0, "SERVING"), other.member("b", 0, "SERVING"));
        // a part that failed with an error may have run; a broken connection and a bad frame also fail the part
        for (String end : new String[] {"err", "break", "garbage"}) {
            Program.await("both workers are in use again", () -> isEveryQueryServed());
            fails.set(0);
            assertEquals(end, 200, Client.post(program.port, end + "1", "all", 1900, 0).status);
            Program.await("both workers are in use again", () -> isEveryQueryServed());
            fails.set(0);
            assertEquals(end, 502, Client.post(program.port, end + "2", "once", 1900, 0).status);
            assertEquals("sent once", 1, one.count("Q" + end + "2") + other.count("Q" + end + "2"));
        }
        Program.await("both workers are in use again", () -> isEveryQueryServed());
        fails.set(0); // a part refused as busy never ran, so any class allows another worker
        assertEquals(200, Client.post(program.port, "busy1", "once", 1900, 0).status);
    }

    @Test
    public void cancelsPartAtSilentWorkerBeforeResendingIt() throws Exception {
        List<String> order = java.util.Collections.synchronizedList(new ArrayList<>());
        var silent = new AtomicInteger();
        Function<String, String> answer = id -> {
            order.add(id);
            return silent.getAndIncrement() == 0 ? null : "ok";
        };
        var one = startWorker(answer);
        var other = startWorker(answer);
        start(one.member("a", 0, "SERVING"), other.member("b", 0, "SERVING"));
        assertEquals(200, Client.post(program.port, "s", "all", 1900, 0).status);
        assertEquals(List.of("s.0", "s.0"), order);
        // two copies must never run at once: the first is cancelled before the second is sent
        Program.await("the first copy is cancelled", () -> one.count("Xs.0") + other.count("Xs.0") == 1);
    }

    @Test
    public void resendsPartToTheSameWorkerOverNewConnection() throws Exception {
        // a late answer to the cancelled attempt must not be taken for an answer to the new one
        var calls = new AtomicInteger();
        Function<String, String> answer = id -> id.startsWith("z") ? null : switch (calls.getAndIncrement()) {
            case 0 -> null;
            case 1 -> "break";
            default -> "ok";
        };
        var one = startWorker(answer);
        var other = startWorker(answer);
        start(one.member("a", 0, "SERVING"), other.member("b", 0, "SERVING"));
        var client = new Client(program.port).send(Client.query("b", "all", 1900, 0));
        resources.add(client);
        Program.await("the part is sent", () -> calls.get() == 1);
        Thread.sleep(150); // the silence of the other parts must be detected in a later sweep than that of the first
        for (int i = 0; i < 4; i++) { // unanswered parts keep the connection from being idle
            resources.add(new Client(program.port).send(Client.query("z" + i, "once", 1900, 0)));
        }
        Program.await("the other parts are sent", () -> one.count("Qz") + other.count("Qz") == 4);
        assertEquals(200, client.answer().status);
        var first = one.count("Xb.0") == 1 ? one : other;
        assertEquals(2, first.count("Qb.0"));
        assertEquals(2, first.count("open"));
    }

    @Test
    public void answersBeforeTheDeadlineAndCancelsTheParts() throws Exception {
        var silent = startWorker(id -> null);
        start(silent.member("a", 0, "SERVING"));
        long sent = System.nanoTime();
        int status = Client.post(program.port, "d", "once", 700, 0).status;
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent);
        assertEquals(504, status);
        assertTrue("answered after " + took + " ms", took < 770); // the deadline, its grace and some slack
        Program.await("the part is cancelled", () -> silent.count("Xd.0") == 1);
    }

    @Test
    public void cancelsPartsOfClientThatDisconnects() throws Exception {
        var silent = startWorker(id -> null);
        start(silent.member("a", 0, "SERVING"));
        try (var client = new Client(program.port)) {
            client.send(Client.query("g", "once", 1900, 0));
            Program.await("the part is sent", () -> silent.count("Qg.0") == 1);
        }
        Program.await("the part is cancelled", () -> silent.count("Xg.0") == 1);
    }

    @Test
    public void refusesUnservableQueryAtOnceWithRetryAfter() throws Exception {
        start(startWorker(id -> "ok").member("a", 0, "SERVING"));
        long sent = System.nanoTime();
        var answer = Client.post(program.port, "r", "all", 1900, 1);
        assertEquals(503, answer.status);
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertTrue(System.nanoTime() - sent < TimeUnit.MILLISECONDS.toNanos(900));
    }

    @Test
    public void stopsSendingToDrainingWorkerAndResumesDeadWatch() throws Exception {
        var one = startWorker(id -> "ok");
        var other = startWorker(id -> "ok");
        start(one.member("a", 0, "SERVING"), other.member("b", 0, "SERVING"));
        Program.await("the watch is open", () -> discovery.count("GET /api/targets?stream=1&index=41") == 1);
        Thread.sleep(100); // the stand-in registers the watch shortly after it has read the request line
        discovery.send("{\"revision\":43,\"complete\":false,\"members\":[" + one.member("a", 0, "DRAINING") + "]}");
        Thread.sleep(1500);
        long before = one.count("Q");
        for (int i = 0; i < 20; i++) {
            assertEquals(200, Client.post(program.port, "q" + i, "all", 1900, 0).status);
        }
        assertEquals(before, one.count("Q"));
        // a machine that is cut off sends no lines: the watch counts as dead and resumes from the last revision
        discovery.silent = true;
        Program.await("a new watch", () -> discovery.count("GET /api/targets?stream=1&index=43") > 0);
    }

    @Test
    public void movesTheWatchOnReloadAndKeepsQueriesInFlight() throws Exception {
        var one = startWorker(id -> {
            sleep(700);
            return "ok";
        });
        var other = startWorker(id -> "ok");
        start(one.member("a", 0, "SERVING"));
        try (var client = new Client(program.port); var next = new StandIn.Discovery()) {
            client.send(Client.query("h", "all", 1900, 0));
            Program.await("the part is sent", () -> one.count("Qh.0") == 1);
            program.reload(0,
                    "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"nowhere\",\"settings\":" + Program.SETTINGS + "}");
            Program.await("the rejected key is logged",
                    () -> program.log.stream().anyMatch(l -> l.contains("kept") && l.contains("discovery")));
            next.list = "{\"revision\":7,\"complete\":true,\"members\":[" + other.member("b", 0, "SERVING")
                    + "\n    ".repeat(20_000) + "]}"; // an indented list of some hundred nodes exceeds 64 KiB
            program.reload(next.port(), null);
            // revision 41 of the old discovery is unknown to the new one: the full list is read first, then its updates
            Program.await("the watch is open there", () -> next.count("GET /api/targets?stream=1&index=7") == 1);
            assertEquals("the query in flight is answered", 200, client.answer().status);
            assertEquals(200, client.send(Client.query("n", "all", 1900, 0)).answer().status);
            assertEquals("only the worker of the new list receives the part", 1, other.count("Qn.0"));
            discovery.close();
        }
        assertTrue(program.process.isAlive());
    }

    @Test
    public void closesIdleConnectionBeforeTheWorkerDoes() throws Exception {
        var one = startWorker(id -> "ok");
        start(one.member("a", 0, "SERVING"));
        assertEquals(200, Client.post(program.port, "i1", "all", 1900, 0).status);
        Program.await("the connection is closed", () -> one.count("closed") == 1);
        assertEquals(200, Client.post(program.port, "i2", "once", 1900, 0).status);
        assertEquals(2, one.count("open"));
    }

    @Test
    public void answersQueriesAcceptedBeforeShutdown() throws Exception {
        var slow = startWorker(id -> {
            sleep(id.startsWith("e") ? 200 : 0);
            return "ok";
        });
        start(slow.member("a", 0, "SERVING"));
        try (var early = new Client(program.port); var persistent = new Client(program.port)) {
            assertEquals(200, persistent.send("GET /-/ready HTTP/1.1\r\n\r\n").answer().status);
            early.send(Client.query("e", "all", 1900, 0));
            Program.await("the part is sent", () -> slow.count("Qe.0") == 1);
            program.process.toHandle().destroy(); // Process.destroy would also close the streams
            Program.await("the signal", () -> program.log.stream().anyMatch(l -> l.contains("told to leave")));
            assertEquals(503, Client.get(program.port, "/-/ready").status);
            assertEquals(200, early.answer().status);
            Thread.sleep(1000); // the successor may not be ready yet: connections are served for longer than 0.7 s
            assertEquals(200, persistent.send(Client.query("l", "all", 1900, 0)).answer().status);
        }
        assertTrue(program.process.waitFor(10, TimeUnit.SECONDS));
    }

    @Test
    public void namesTheKeyOfBadConfiguration() throws Exception {
        String good = "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\",\"settings\":" + Program.SETTINGS
                + "}";
        String[][] bad = {{good.replace("\"Round\":5000", "\"Round\":\"soon\""), "Round"},
            {good.replace("\"Slabs\":4,", ""), "Domain.Slabs"},
            {good.replace("\"listen\":\"127.0.0.1:1\",", ""), "listen"},
            {good.replace("\"Name\":\"any\",", ""), "Classes.0.Name"}, {"{", "ROUTER_CONFIG"}};
        for (String[] b : bad) {
            Process process = Program.launch(b[0], null);
            assertTrue(process.waitFor(15, TimeUnit.SECONDS));
            List<String> errorLines = new String(process.getErrorStream().readAllBytes(), UTF_8).lines().toList();
            assertEquals(errorLines.toString(), 2, process.exitValue());
            assertEquals(errorLines.toString(), 1, errorLines.size());
            assertTrue(errorLines.get(0), errorLines.get(0).contains(b[1]));
        }
    }

    /** Returns whether several queries in a row are served: a worker that failed is not used for a while. */
    private boolean isEveryQueryServed() {
        for (int i = 0; i < 8; i++) {
            try {
                if (Client.post(program.port, "w" + System.nanoTime(), "all", 1900, 0).status != 200) {
                    return false;
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
        return true;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against answers beyond the 64 KiB that a body may have; no value may be left out of an answer. */
    @Test
    public void failsQueryWhoseAnswerIsLargerThanABodyMayBe() throws Exception {
        var even = startWorker(id -> "ok");
        var odd = startWorker(id -> "ok");
        start(even.member("a", 0, "SERVING"), odd.member("b", 1, "SERVING"));
        even.value = "x".repeat(40_000);
        assertEquals(200, Client.post(program.port, "q1", "all", 1900, 0, 1).status);
        odd.value = "x".repeat(40_000);
        Client.Answer answer = Client.post(program.port, "q2", "all", 1900, 0, 1);
        assertEquals(502, answer.status);
        assertEquals("failed: the answer has more than 65536 bytes\n", answer.body);
    }
}
