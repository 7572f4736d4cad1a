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

/** Rough clients and workers on a machine with few descriptors. */
public class RoughTest {
    private final List<AutoCloseable> open = new ArrayList<>();
    private Program program;

    private StandIn.Worker worker(Function<String, String> answer) throws IOException {
        var worker = new StandIn.Worker(answer);
        open.add(worker);
        return worker;
    }

    private void start(int sockets, String... members) throws Exception {
        var discovery = new StandIn.Discovery();
        open.add(discovery);
        program = new Program(discovery.port(), String.join(",", members), null, sockets);
        open.add(program);
    }

    private Client client() throws IOException {
        var client = new Client(program.port);
        open.add(client);
        return client;
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    @Test
    public void clientsThatAskOnceAndStayLeaveRoomForOthers() throws Exception {
        // a connection that had been answered counted as busy for good: at the cap no other was ever served
        start(64, worker(id -> "ok").member("a", 0, "SERVING"));
        for (int i = 0; i < 60; i++) {
            assertEquals(200, client().send(Client.query("s" + i, "all", 1900, 0)).answer().status);
        }
        assertEquals(200, Client.post(program.port, "last", "all", 1900, 0).status);
    }

    @Test
    public void connectionsThatRestAreClosedBeforeClientsHaveNoneLeft() throws Exception {
        // clients hold a third of the descriptors at most; kept for good, idle ones left them none to ask again with
        start(64, worker(id -> "ok").member("a", 0, "SERVING"));
        var kept = new ArrayList<Client>();
        for (int i = 0; i < 19; i++) { // fewer than half the cap: nothing is pressed for room
            kept.add(client());
            assertEquals(200, kept.get(i).send(Client.query("k" + i, "all", 1900, 0)).answer().status);
        }
        for (Client c : kept.subList(0, 10)) {
            c.socket.setSoTimeout(6_000);
            assertTrue(ended(c));
        }
    }

    @Test
    public void silentAndHalfRequestsAreEndedAndServedOnesAreNot() throws Exception {
        start(64, worker(id -> "ok").member("a", 0, "SERVING"));
        long begun = System.nanoTime();
        var silent = new ArrayList<Client>();
        for (int i = 0; i < 100; i++) { // more than there is room for
            silent.add(client());
        }
        var half = client().send("POST /api HTTP/1.1\r\nX-Class: all\r\nContent-Le");
        assertEquals(200, client().send(Client.query("h", "all", 1900, 0)).answer().status);
        assertEquals(408, half.answer().status);
        for (Client c : silent) {
            assertTrue(ended(c));
        }
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue("ended after " + took + " ms", took < 5_000); // 3 s are owed; the machine may be slow
    }

    @Test
    public void theAnswerToABodyThatIsTooLargeIsNotLostInAReset() throws Exception {
        start(64, worker(id -> "ok").member("a", 0, "SERVING"));
        var client = client().send("POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        byte[] junk = new byte[1 << 20];
        for (int i = 0; i < 57; i++) {
            client.socket.getOutputStream().write(junk);
        }
        assertEquals(413, client.answer().status);
    }

    @Test
    public void whatIsNoQueryNeverReachesAWorker() throws Exception {
        var worker = worker(id -> "ok");
        start(64, worker.member("a", 0, "SERVING"));
        String good = Client.query("x", "all", 1900, 0, 2);
        String[] bad = {good.replace("0.5}]", "0.7}]"), good.replaceFirst("0[.]5", "-.5"),
            good.replaceFirst("0[.]5", "1.5"),
            good.replace("\"shard\":2", "\"shard\":0"), good.replace("1900m", "soon"), good.replace("1900m", "-9m"),
            good.replace("1900m", "0m"), good.replace("X-Request-Id: x", "X-Other: 1"),
            good.replace("X-Class", "X-Cl ass"),
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
    public void anAnswerToAStrangerEndsTheConnectionAndTheParts() throws Exception {
        // what it was meant to answer never came: the part waited for all its time on a connection of no further use
        var worker = worker(id -> "stranger");
        start(64, worker.member("a", 0, "SERVING"));
        assertEquals("failed at once, not late", 502, Client.post(program.port, "s", "once", 1900, 0).status);
        Program.await("the end of the connection", () -> worker.count("closed") == 1);
    }

    @Test
    public void aFrameThatNeverEndsEndsTheConnection() throws Exception {
        var worker = worker(id -> "short");
        start(64, worker.member("a", 0, "SERVING"));
        assertEquals("failed before its time is up", 502, Client.post(program.port, "f", "once", 1900, 0).status);
        Program.await("the end of the connection", () -> worker.count("closed") == 1);
    }

    @Test
    public void aConnectionThatFellSilentAloneIsNotUsedAgain() throws Exception {
        // the worker is sound, but all that went over this connection was lost, trials too
        var worker = worker(id -> id.startsWith("z") ? null : "ok");
        start(64, worker.member("a", 0, "SERVING"));
        var lost = client().send(Client.query("z1", "once", 1900, 0));
        Program.await("the part", () -> worker.count("Qz1.0") == 1);
        Thread.sleep(300); // longer than a fifth of the aim
        assertEquals(200, Client.post(program.port, "n", "all", 900, 2).status);
        assertEquals("over another connection", 2, worker.count("open"));
        assertEquals(504, lost.answer().status);
        Program.await("its end", () -> worker.count("closed") >= 1);
    }

    @Test
    public void aSecondCopyOfAGoodAnswerTakesNothingFromTheConnection() throws Exception {
        var worker = worker(id -> "twice");
        start(64, worker.member("a", 0, "SERVING"));
        for (int i = 0; i < 10; i++) {
            assertEquals(200, Client.post(program.port, "t" + i, "once", 1900, 0, 2).status);
        }
        assertEquals(1, worker.count("open"));
    }

    private static boolean ended(Client client) throws IOException {
        try {
            return client.socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }
}
