package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/** Guards against requests at the front for features that take all memory, so that no other client is answered. */
public class FeatureBurstTest {
    /** The heap of a gatherer on the platform. */
    private static final int HEAP_MB = 48;
    private static final int BURST = 60;
    private static final int SHARDS = 4;
    /** The entries of one server in the inventory, so that limits of one server do not limit the burst. */
    private static final int ENTRIES = 16;
    private static final int FEATURES_PER_PAGE = 50;
    private static final int MEMBERS_PER_FEATURE = 110;
    private static final int SERVER_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 1_900;
    private static final long PLATFORM_NANOS = TimeUnit.SECONDS.toNanos(6);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private Process program;

    @After
    public void stop() {
        if (program != null) {
            program.destroyForcibly().onExit().join();
        }
    }

    /** Returns an upstream page of some 60 KB with many short members, each of which costs a tree much memory. */
    private static String page() {
        var members = new StringBuilder("\"n\":0");
        for (int i = 0; i < MEMBERS_PER_FEATURE; i++) {
            members.append(",\"").append(100 + i).append("\":").append(10 + i % 80);
        }
        String feature = "{\"type\":\"Feature\",\"geometry\":null,\"properties\":{" + members + "}}";
        String page = "{\"type\":\"FeatureCollection\",\"features\":["
                + String.join(",", Collections.nCopies(FEATURES_PER_PAGE, feature)) + "]}";
        assertTrue("" + page.length(), page.length() > 50 * 1024 && page.length() <= 64 * 1024);
        return page;
    }

    private static String slowPage(String page) {
        try {
            Thread.sleep(SERVER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return page;
    }

    private Path operatorFile(int listen, StandIn server) throws IOException {
        var inventory = new StringBuilder(
                "feature_servers:\n  vars: {zone: east, ansible_host: 127.0.0.1}\n  hosts:\n");
        for (int i = 0; i < ENTRIES; i++) {
            inventory.append("    fs").append(i).append(": {port: ").append(server.port()).append(", cell: ")
                    .append(i % 2).append("}\n");
        }
        Files.writeString(folder.newFile("inventory.yaml").toPath(), inventory);
        return Files.writeString(folder.newFile("operator.yaml").toPath(), "ogc:\n  listen: 127.0.0.1:" + listen
                + "\n  inventory: inventory.yaml\n  collections:\n"
                + "    cars: {title: Cars, class: all, shards: [0, 1, 2, 3]}\n");
    }

    private static List<CompletableFuture<Client.Answer>> sendBurst(int port) {
        var threads = Executors.newFixedThreadPool(BURST);
        var answers = new ArrayList<CompletableFuture<Client.Answer>>();
        for (int i = 0; i < BURST; i++) {
            answers.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return Client.get(port, "/collections/cars/items?limit=" + SHARDS * FEATURES_PER_PAGE);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }, threads));
        }
        threads.shutdown();
        return answers;
    }

    @Test
    public void answersPlatformClientsWhileBurstOfLargePagesIsServed() throws Exception {
        String page = page();
        int featuresPort = Ports.free();
        try (var worker = new StandIn.Worker(id -> "ok");
                var server = new StandIn.FeatureServer(t -> slowPage(page));
                var discovery = new StandIn.Discovery()) {
            int port = Ports.free();
            program = Program.launch(
                    Program.config("t", Program.SEED, port, discovery.port(), worker.member("a", 0, "SERVING"), 1024)
                            .replace("\"MaxOpen\":60", "\"MaxOpen\":" + 2 * BURST * SHARDS),
                    operatorFile(featuresPort, server), HEAP_MB);
            List<String> log = Collections.synchronizedList(new ArrayList<>());
            Program.read(program, log);
            Program.awaitReady(port);
            assertEquals(200, Client.get(featuresPort, "/collections/cars/items?limit=200").status);
            List<CompletableFuture<Client.Answer>> burst = sendBurst(featuresPort);
            long end = System.nanoTime() + PLATFORM_NANOS;
            for (int i = 0; System.nanoTime() < end; i++) {
                assertEquals(200, Client.post(port, "q" + i, "all", DEADLINE_MILLIS, 0).status);
            }
            int served = 0;
            for (CompletableFuture<Client.Answer> answer : burst) {
                Client.Answer received = answer.get(15, TimeUnit.SECONDS);
                assertTrue(received.body, Set.of(200, 503).contains(received.status));
                served += received.status == 200 ? 1 : 0;
            }
            assertTrue("of " + BURST + " pages, served: " + served, served > 0);
            String logged = String.join("\n", log.toArray(String[]::new));
            assertFalse(logged, logged.contains("OutOfMemoryError"));
        }
    }
}
