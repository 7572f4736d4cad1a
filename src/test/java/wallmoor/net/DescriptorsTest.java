package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * The real program under a real limit of open files, with more clients at its door than that: what is kept back for
 * discovery, workers and operators is there when they need it, and the limit is never reached.
 */
public class DescriptorsTest {
    private static final int SOCKETS = 256;
    private static final int CROWD = 240;
    /** More callers at once than operators are. */
    private static final int CALLERS = 60;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<Thread> crowd = new ArrayList<>();
    private final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger most = new AtomicInteger();
    private final AtomicInteger connects = new AtomicInteger();
    private StandIn.Discovery discovery;
    private StandIn.Worker first;
    private StandIn.Worker second;
    private Process process;
    private Admin admin;
    private int port;

    @Before
    public void start() throws Exception {
        discovery = new StandIn.Discovery();
        open.add(discovery);
        first = new StandIn.Worker(id -> "ok");
        open.add(first);
        second = new StandIn.Worker(id -> "ok");
        open.add(second);
        port = Ports.free();
        admin = new Admin(Ports.free());
        Path file = Files.createTempFile("wallmoor", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, Program.withAdmin(Program.config("t", Program.SEED, port, discovery.port(),
                first.member("a", 0, "SERVING"), SOCKETS), admin.port()));
        var command = new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + SOCKETS + " && exec \"$0\" \"$@\""));
        command.addAll(Program.command());
        var builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", file.toString());
        process = builder.start();
        open.add(0, () -> process.destroyForcibly().onExit().join());
        Program.read(process, log);
        Program.await("ready", admin::ready);
    }

    @After
    public void stop() throws Exception {
        over.set(true);
        for (AutoCloseable o : open) {
            o.close();
        }
        for (Thread t : crowd) {
            t.join(10_000);
        }
    }

    private int descriptors() {
        try (var files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            int count = (int) files.count();
            most.accumulateAndGet(count, Math::max);
            return count;
        } catch (IOException e) {
            return 0; // it has ended
        }
    }

    private void thread(Runnable work) {
        var thread = new Thread(null, work, "crowd", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        crowd.add(thread);
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Connects, says this much, and stays until it is closed; then connects again, for as long as the test lasts. */
    private void crowd(int at, String says) {
        thread(() -> {
            while (!over.get()) {
                try (var client = new Client(at)) {
                    connects.incrementAndGet();
                    client.socket.setSoTimeout(5_000);
                    client.send(says);
                    while (client.socket.getInputStream().read() >= 0) {
                        // an answer, and then rest
                    }
                } catch (IOException e) {
                    // reset, refused, or in vain for 5 s
                }
                pause();
            }
        });
    }

    private void serves(String when, int shard) throws Exception {
        Program.await(when, () -> {
            try {
                return Client.post(port, "q" + System.nanoTime(), "all", 1900, shard).status == 200;
            } catch (IOException e) {
                return false; // shut unread at the cap, as may be
            }
        });
    }

    @Test(timeout = 90_000)
    public void crowdsOfClientsAndCallersLeaveRoomForDiscoveryWorkersAndOperators() throws Exception {
        int own = descriptors();
        thread(() -> {
            while (!over.get()) {
                descriptors();
            }
        });
        discovery.resetsConnections = true;
        discovery.reset();
        for (int i = 0; i < CROWD; i++) {
            crowd(port, i % 3 == 0 ? "" : i % 3 == 1 ? "POST /api HT" : Client.query("c" + i, "all", 1900, 0));
        }
        Program.await("each has come twice", () -> connects.get() > 2 * CROWD);
        serves("while discovery is down", 0);
        assertTrue("operators are answered", admin.ready());

        discovery.opening = "{\"revision\":50,\"complete\":true,\"members\":[" + first.member("a", 0, "DRAINING") + ","
                + second.member("b", 0, "SERVING") + "]}";
        discovery.resetsConnections = false;
        Program.await("the list is heard", () -> admin.figure("workers_known") == 2);
        serves("by a worker never connected to before", 0);
        Program.await("it is the new one's", () -> second.count("Q") > 0);
        long drained = first.count("Q");
        for (int i = 0; i < 10; i++) {
            serves("not by the one that drains", 0);
        }
        assertEquals("nothing new at what drains", drained, first.count("Q"));

        for (int i = 0; i < CALLERS; i++) {
            crowd(admin.port(), i % 2 == 0 ? "" : "GET /_va");
        }
        discovery.reset();
        Program.await("the watch is opened anew", () -> discovery.count("GET /api/targets") > 2);
        Program.await("operators are answered among a crowd", admin::ready);
        serves("among both crowds", 0);
        assertTrue("descriptors: " + most + " of " + SOCKETS + ", its own " + own, most.get() < SOCKETS);
        assertEquals(List.of(), log.stream().filter(l -> l.contains("Too many open files")).toList());
        assertEquals(List.of(), log.stream().filter(l -> l.contains("cannot accept")).toList());
    }
}
