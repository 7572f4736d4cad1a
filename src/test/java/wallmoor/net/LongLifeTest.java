package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import wallmoor.standin.Ports;

/** What a gatherer keeps of a long life, and what its first and last moments owe to those who ask in them. */
public class LongLifeTest {
    private static final int MEMBERS = 200;
    /** Of a class that has few objects so many more are no growth: threads and timers come and go. */
    private static final int SLACK = 40;

    private final List<AutoCloseable> open = new ArrayList<>();
    private Program program;
    private StandIn.Discovery discovery;
    private StandIn.Worker worker;
    private int revision = 50;

    private void start() throws Exception {
        discovery = new StandIn.Discovery();
        open.add(discovery);
        worker = new StandIn.Worker(id -> id.startsWith("lost") ? null : id.startsWith("bad") ? "err" : "ok");
        open.add(worker);
        program = new Program(discovery.port(), worker.member("first", 0, "SERVING"), null);
        open.add(program);
        Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1&index=41") == 1);
        Thread.sleep(100); // the watch is in the stand-in's hands a little after its request line is
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    private void members(int generation, String phase) throws IOException {
        var entries = new ArrayList<String>();
        for (int i = 0; i < MEMBERS; i++) {
            entries.add(worker.member("g" + generation + "-" + i, i % 2, phase));
        }
        for (int i = 0; i < MEMBERS; i += 50) { // a line of the watch holds 64 KiB at most
            discovery.send("{\"revision\":" + ++revision + ",\"complete\":false,\"members\":["
                    + String.join(",", entries.subList(i, i + 50)) + "]}");
        }
    }

    /** All members are replaced by others, and queries of every kind and end are asked of the new ones. */
    private void generation(int g) throws Exception {
        members(g, "SERVING");
        if (g > 0) {
            members(g - 1, "DELETED");
        }
        Thread.sleep(200); // were the list later than that, the queries would meet the generation before
        for (int i = 0; i < 30; i++) {
            assertEquals(200,
                    Client.post(program.port, "q" + g + "-" + i, i % 2 == 0 ? "any" : "all", 1900, 0, 1, 2, 3).status);
        }
        Client.post(program.port, "bad" + g, "all", 300, 0, 1);
        Client.post(program.port, "lost" + g, "once", 150, 0);
        try (var gone = new Client(program.port)) {
            gone.send(Client.query("lost-gone" + g, "all", 1900, 0, 1));
        }
    }

    /** Live objects by class, after a collection. */
    private Map<String, Integer> retained() throws Exception {
        Thread.sleep(2500); // what was called off is past its time, and all windows are
        Client.post(program.port, "w" + System.nanoTime(), "all", 1900, 0);
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        var process = new ProcessBuilder(jcmd.toString(), "" + program.process.pid(), "GC.class_histogram")
                .redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(text, process.waitFor(20, TimeUnit.SECONDS) && process.exitValue() == 0);
        var counts = new TreeMap<String, Integer>();
        text.lines().map(l -> l.trim().split("\\s+")).filter(w -> w.length >= 4 && w[0].endsWith(":"))
                .forEach(w -> counts.merge(w[3].replaceAll("\\$\\$Lambda.*|0x.*", ""), Integer.parseInt(w[1]),
                        Integer::sum));
        return counts;
    }

    /** Counted, not timed: what a tenth generation leaves behind is what a fourth one does. */
    @Test
    public void nothingIsKeptOfMembersQueriesAndConnectionsThatAreGone() throws Exception {
        start();
        for (int g = 0; g < 5; g++) {
            generation(g);
        }
        Map<String, Integer> before = retained();
        assertTrue("counts the members there are", before.getOrDefault("wallmoor.core.Worker", 0) >= MEMBERS);
        for (int g = 5; g < 17; g++) {
            generation(g);
        }
        Map<String, Integer> after = retained();
        var grown = new ArrayList<String>();
        after.forEach((name, n) -> {
            int had = before.getOrDefault(name, 0);
            boolean counted = name.startsWith("wallmoor.") || name.startsWith("java.util.");
            // one member kept of each generation is 12 more, all 2400
            if (counted && n > had + Math.max(SLACK, had / 10)) {
                grown.add(name + " " + had + " to " + n);
            }
        });
        assertEquals(List.of(), grown);
    }

    /** A connection is taken as soon as the address is listened on; what is asked there then gets its one answer. */
    @Test
    public void whatIsAskedWhileTheProcessStartsIsAnsweredOnce() throws Exception {
        worker = new StandIn.Worker(id -> "ok");
        open.add(worker);
        int port = Ports.free();
        Process process = Program
                .launch(Program.config("t", Program.SEED, port, 1, worker.member("a", 0, "SERVING"), 1024), null);
        open.add(() -> process.destroyForcibly().onExit().join());
        var asked = new ArrayList<Client>();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (asked.size() < 20 && System.nanoTime() < until) {
            try {
                asked.add(new Client(port).send(Client.query("s" + asked.size(), "all", 1900, 0)));
                open.add(asked.get(asked.size() - 1));
            } catch (ConnectException e) {
                Thread.sleep(1); // not listened on yet
            }
        }
        assertEquals(20, asked.size());
        for (Client c : asked) {
            assertEquals(200, c.answer().status);
            c.socket.setSoTimeout(50);
            try {
                assertEquals("nothing comes after an answer", -1, c.socket.getInputStream().read());
            } catch (java.net.SocketTimeoutException e) {
                // it rests: as it should
            }
        }
    }

    /**
     * Until the address is given up, a connection that comes while the process leaves is answered, never just closed.
     */
    @Test
    public void aNewConnectionIsAnsweredForAsLongAsConnectionsAreTaken() throws Exception {
        start();
        program.process.toHandle().destroy(); // and not its streams, as Process.destroy would
        Program.await("the signal", () -> program.log.stream().anyMatch(l -> l.contains("told to leave")));
        var answered = new AtomicInteger();
        var unanswered = new ArrayList<String>();
        for (int i = 0; i < 2_000; i++) {
            try (var client = new Client(program.port)) {
                try {
                    int status = client.send(Client.query("n" + i, "all", 1900, 0)).answer().status;
                    assertTrue("status " + status, status == 200 || status == 503);
                    answered.incrementAndGet();
                } catch (IOException e) {
                    unanswered.add(i + ": " + e);
                }
            } catch (ConnectException e) {
                break; // the address is given up: nobody is taken who could be lost
            }
            Thread.sleep(1);
        }
        assertTrue("answered " + answered, answered.get() > 50);
        // one may be between the kernel's hands and ours as the address is closed, which no call of the JDK's shows
        assertTrue(unanswered.toString(), unanswered.size() <= 1);
        assertTrue(program.process.waitFor(10, TimeUnit.SECONDS));
    }
}
