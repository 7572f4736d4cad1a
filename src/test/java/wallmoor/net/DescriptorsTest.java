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
 * Guards against a gatherer that runs out of file descriptors under a crowd of clients. The real program runs under a
 * real limit of open files with more clients than that: it must still reach discovery and workers and answer operators,
 * from the descriptors it reserves for them, and never reach the limit.
 */
public class DescriptorsTest {
    private static final int MAX_DESCRIPTORS = 256;
    private static final int CLIENTS = 240;
    /** Connections to the operator port at once, more than operators open. */
    private static final int OPERATOR_CLIENTS = 60;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger maxDescriptorsSeen = new AtomicInteger();
    private final AtomicInteger connects = new AtomicInteger();
    private StandIn.Discovery discovery;
    private StandIn.Worker drainedWorker;
    private StandIn.Worker addedWorker;
    private Process process;
    private Admin admin;
    private int port;

    @Before
    public void start() throws Exception {
        discovery = new StandIn.Discovery();
        open.add(discovery);
        drainedWorker = new StandIn.Worker(id -> "ok");
        open.add(drainedWorker);
        addedWorker = new StandIn.Worker(id -> "ok");
        open.add(addedWorker);
        port = Ports.free();
        admin = new Admin(Ports.free());
        Path file = Files.createTempFile("wallmoor", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, Program.withAdmin(Program.config("t", Program.SEED, port, discovery.port(),
                drainedWorker.member("a", 0, "SERVING"), MAX_DESCRIPTORS), admin.port()));
        var command = new ArrayList<>(
                List.of("/bin/sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + " && exec \"$0\" \"$@\""));
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
        stopped.set(true);
        for (AutoCloseable o : open) {
            o.close();
        }
        for (Thread t : clientThreads) {
            t.join(10_000);
        }
    }

    private int countDescriptors() {
        try (var files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            int count = (int) files.count();
            maxDescriptorsSeen.accumulateAndGet(count, Math::max);
            return count;
        } catch (IOException e) {
            return 0; // the process has ended
        }
    }

    private void startThread(Runnable work) {
        var thread = new Thread(null, work, "crowd", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a client that connects, sends the text, waits for the end of the connection, and begins again. */
    private void startClient(int serverPort, String text) {
        startThread(() -> {
            while (!stopped.get()) {
                try (var client = new Client(serverPort)) {
                    connects.incrementAndGet();
                    client.socket.setSoTimeout(5_000);
                    client.send(text);
                    while (client.socket.getInputStream().read() >= 0) {
                        // reads the answer, if any, and waits for the end of the connection
                    }
                } catch (IOException e) {
                    // the connection was reset or refused, or brought nothing for 5 s
                }
                pause();
            }
        });
    }

    private void awaitServed(String when, int shard) throws Exception {
        Program.await(when, () -> {
            try {
                return Client.post(port, "q" + System.nanoTime(), "all", 1900, shard).status == 200;
            } catch (IOException e) {
                return false; // at the limit of connections one may be closed before it is read
            }
        });
    }

    @Test(timeout = 90_000)
    public void reachesDiscoveryWorkersAndOperatorsWithMoreClientsThanDescriptors() throws Exception {
        int idleDescriptors = countDescriptors();
        startThread(() -> {
            while (!stopped.get()) {
                countDescriptors();
            }
        });
        discovery.resetsConnections = true;
        discovery.reset();
        for (int i = 0; i < CLIENTS; i++) {
            startClient(port, i % 3 == 0 ? "" : i % 3 == 1 ? "POST /api HT" : Client.query("c" + i, "all", 1900, 0));
        }
        Program.await("twice as many connections as clients", () -> connects.get() > 2 * CLIENTS);
        awaitServed("served while discovery is down", 0);
        assertTrue("answers operators while discovery is down", admin.ready());

        discovery.opening = "{\"revision\":50,\"complete\":true,\"members\":["
                + drainedWorker.member("a", 0, "DRAINING") + "," + addedWorker.member("b", 0, "SERVING") + "]}";
        discovery.resetsConnections = false;
        Program.await("the list is received", () -> admin.figure("workers_known") == 2);
        awaitServed("served by a worker not connected to before", 0);
        Program.await("the part is sent to the new worker", () -> addedWorker.count("Q") > 0);
        long partsBefore = drainedWorker.count("Q");
        for (int i = 0; i < 10; i++) {
            awaitServed("served without the draining worker", 0);
        }
        assertEquals("parts sent to the draining worker", partsBefore, drainedWorker.count("Q"));

        for (int i = 0; i < OPERATOR_CLIENTS; i++) {
            startClient(admin.port(), i % 2 == 0 ? "" : "GET /_va");
        }
        discovery.reset();
        Program.await("the watch is opened again", () -> discovery.count("GET /api/targets") > 2);
        Program.await("operators are answered with both ports crowded", admin::ready);
        awaitServed("served with both ports crowded", 0);
        assertTrue("descriptors: at most " + maxDescriptorsSeen + " of " + MAX_DESCRIPTORS + ", before the clients "
                + idleDescriptors, maxDescriptorsSeen.get() < MAX_DESCRIPTORS);
        assertEquals(List.of(), log.stream().filter(l -> l.contains("Too many open files")).toList());
        assertEquals(List.of(), log.stream().filter(l -> l.contains("cannot accept")).toList());
    }
}
