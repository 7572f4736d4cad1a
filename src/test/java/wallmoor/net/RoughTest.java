package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.After;
import org.junit.Test;

/** Misbehaving clients and workers at the real program, which may use few descriptors. */
public class RoughTest {
    private final List<AutoCloseable> resources = new ArrayList<>();
    private Program program;

    private StandIn.Worker startWorker(Function<String, String> answer) throws IOException {
        var worker = new StandIn.Worker(answer);
        resources.add(worker);
        return worker;
    }

    private void start(int sockets, String... members) throws Exception {
        var discovery = new StandIn.Discovery();
        resources.add(discovery);
        program = new Program(discovery.port(), String.join(",", members), null, sockets);
        resources.add(program);
    }

    private Client client() throws IOException {
        var client = new Client(program.port);
        resources.add(client);
        return client;
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    @Test
    public void servesNewClientsWhileAnsweredOnesStayConnected() throws Exception {
        // guards against counting an answered connection as busy for good, which blocks all other clients at the cap
        start(64, startWorker(id -> "ok").member("a", 0, "SERVING"));
        for (int i = 0; i < 60; i++) {
            assertEquals(200, client().send(Client.query("s" + i, "all", 1900, 0)).answer().status);
        }
        assertEquals(200, Client.post(program.port, "last", "all", 1900, 0).status);
    }

    @Test
    public void closesIdleConnectionsBelowTheCap() throws Exception {
        // clients may use a third of the descriptors; idle connections left open would leave none for new requests
        start(64, startWorker(id -> "ok").member("a", 0, "SERVING"));
        var idle = new ArrayList<Client>();
        for (int i = 0; i < 19; i++) { // fewer than half the cap, so nothing is closed to make room
            idle.add(client());
            assertEquals(200, idle.get(i).send(Client.query("k" + i, "all", 1900, 0)).answer().status);
        }
        for (Client c : idle.subList(0, 10)) {
            c.socket.setSoTimeout(6_000);
            assertTrue(isClosed(c));
        }
    }

    @Test
    public void closesSilentAndHalfRequestsAndServesCompleteOnes() throws Exception {
        start(64, startWorker(id -> "ok").member("a", 0, "SERVING"));
        long begin = System.nanoTime();
        var silent = new ArrayList<Client>();
        for (int i = 0; i < 100; i++) { // more than the cap
            silent.add(client());
        }
        var half = client().send("POST /api HTTP/1.1\r\nX-Class: all\r\nContent-Le");
        assertEquals(200, client().send(Client.query("h", "all", 1900, 0)).answer().status);
        assertEquals(408, half.answer().status);
        for (Client c : silent) {
            assertTrue(isClosed(c));
        }
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
        assertTrue("ended after " + took + " ms", took < 5_000); // 3 s plus slack for a slow machine
    }

    @Test
    public void deliversAnswerToTooLargeBodyWithoutReset() throws Exception {
        start(64, startWorker(id -> "ok").member("a", 0, "SERVING"));
        var client = client().send("POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        byte[] junk = new byte[1 << 20];
        for (int i = 0; i < 57; i++) {
            client.socket.getOutputStream().write(junk);
        }
        assertEquals(413, client.answer().status);
    }

    @Test
    public void sendsNoInvalidQueryToWorkers() throws Exception {
        var worker = startWorker(id -> "ok");
        start(64, worker.member("a", 0, "SERVING"));
        String good = Client.query("x", "all", 1900, 0, 2);
        String[] bad = {good.replace("0.5}]", "0.7}]"), good.replaceFirst("0[.]5", "-.5"),
            good.replaceFirst("0[.]5", "1.5"),
            good.replace("\"shard\":2", "\"shard\":0"), good.replace("1900m", "soon"), good.replace("1900m", "-9m"),
            good.replace("1900m", "0m"), good.replace("X-Request-Id: x", "X-Other: 1"),
            good.replace("X-Class", "X-Cl ass"), good.replace("X-Class: all\r\n", ""),
            good.replace("X-Class: all", "X-Class:"),
            good.replace("Content-Length: ", "Content-Length: +"),
            good.replace("Content-Length: ", "Content-Length: -"),
            good.replace("X-Class: all", "X-Class: all\r\nTransfer-Encoding\u0001: chunked"),
            good.replace("X-Class: all", "X-Class: all\r\nTransfer-Encoding: chunked"),
            good.replace("X-Class: all", "X-Class: all\r\nContent-Length: 7")};
        for (String request : bad) {
            try (var client = new Client(program.port)) {
                assertEquals(request, 400, client.send(request).answer().status);
            }
        }
        assertEquals(0, worker.count("Q"));
        assertEquals(200, client().send(good).answer().status);
    }

    @Test
    public void failsPartsAndClosesConnectionOnAnswerWithUnknownId() throws Exception {
        // the expected answer never comes; guards against a part that waits for it until its deadline
        var worker = startWorker(id -> "stranger");
        start(64, worker.member("a", 0, "SERVING"));
        assertEquals("failed at once, not at the deadline", 502,
                Client.post(program.port, "s", "once", 1900, 0).status);
        Program.await("the connection is closed", () -> worker.count("closed") == 1);
    }

    @Test
    public void closesConnectionOnIncompleteFrame() throws Exception {
        var worker = startWorker(id -> "short");
        start(64, worker.member("a", 0, "SERVING"));
        assertEquals("failed before the deadline", 502, Client.post(program.port, "f", "once", 1900, 0).status);
        Program.await("the connection is closed", () -> worker.count("closed") == 1);
    }

    @Test
    public void replacesSilentConnectionToHealthyWorker() throws Exception {
        // the worker is healthy, but everything sent over this connection is lost, probes too
        var worker = startWorker(id -> id.startsWith("z") ? null : "ok");
        start(64, worker.member("a", 0, "SERVING"));
        var lost = client().send(Client.query("z1", "once", 1900, 0));
        Program.await("the part is sent", () -> worker.count("Qz1.0") == 1);
        Thread.sleep(300); // longer than a fifth of the latency objective
        assertEquals(200, Client.post(program.port, "n", "all", 900, 2).status);
        assertEquals("over another connection", 2, worker.count("open"));
        assertEquals(504, lost.answer().status);
        Program.await("the silent connection is closed", () -> worker.count("closed") >= 1);
    }

    @Test
    public void keepsConnectionAfterDuplicateAnswer() throws Exception {
        var worker = startWorker(id -> "twice");
        start(64, worker.member("a", 0, "SERVING"));
        for (int i = 0; i < 10; i++) {
            assertEquals(200, Client.post(program.port, "t" + i, "once", 1900, 0, 2).status);
        }
        assertEquals(1, worker.count("open"));
    }

    private static boolean isClosed(Client client) throws IOException {
        try {
            return client.socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }
}
