package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.xbill.DNS.Type;
import wallmoor.standin.DnsServer;

/**
 * Tests the real program under load with two sources of workers, the list and DNS, that contradict each other, fail or
 * report workers that have gone.
 */
public class SourcesTest {
    private static final String SERVICE = "_calendar._tcp.fleet.example";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new ArrayList<>();
    private StandIn.Discovery discovery;
    private DnsServer dns;
    private Program program;
    private Path operator;

    @Before
    public void startStandIns() throws Exception {
        discovery = new StandIn.Discovery();
        dns = new DnsServer();
        open.add(discovery);
        open.add(dns);
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    /** Starts a worker that takes 4 ms for a part, so that concurrent queries use several workers. */
    private StandIn.Worker worker() throws IOException {
        var worker = new StandIn.Worker(id -> {
            try {
                Thread.sleep(4);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "ok";
        });
        open.add(worker);
        return worker;
    }

    private void start(String maxAge, String maxLeavingShare) throws Exception {
        operator = folder.newFile("operator.yaml").toPath();
        write(dns.port(), maxAge, maxLeavingShare);
        program = new Program(discovery.port(), "", operator);
        open.add(program);
    }

    private void write(int port, String maxAge, String maxLeavingShare) throws IOException {
        Files.writeString(operator, "sources:\n  dns:\n    servers: [\"127.0.0.1:" + port + "\"]\n    names: [{name: "
                + SERVICE + "}]\n    least_ttl: 200ms\n    most_ttl: 1s\n    timeout: 200ms\n    most_age: " + maxAge
                + "\n    leaving: " + maxLeavingShare + "\n");
    }

    private static String target(String host, StandIn server, int cell, String id) {
        return host + ".example:" + server.port() + ":0:1:cell=" + cell + ",id=" + id;
    }

    private void awaitServing(String... ids) throws InterruptedException {
        for (String id : ids) {
            Program.await(id + " serving", () -> logged("node=" + id + " state=SERVING"));
        }
    }

    private boolean logged(String text) {
        synchronized (program.log) {
            return program.log.stream().anyMatch(l -> l.contains(text));
        }
    }

    /**
     * Sends queries on six threads until it is closed, because a single client would stay with one worker; counts the
     * queries that failed.
     */
    private final class Load implements AutoCloseable {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final List<Thread> threads = new ArrayList<>();

        Load(int... shards) {
            for (int i = 0; i < 6; i++) {
                threads.add(new Thread(() -> load(shards)));
            }
            threads.forEach(Thread::start);
        }

        private void load(int... shards) {
            while (!stopped.get()) {
                try {
                    int status = Client.post(program.port, "l" + sent.incrementAndGet(), "all", 1900, shards).status;
                    failed.addAndGet(status == 200 ? 0 : 1);
                } catch (IOException e) {
                    failed.incrementAndGet();
                }
            }
        }

        @Override
        public void close() {
            stopped.set(true);
            try {
                for (Thread t : threads) {
                    t.join(10_000);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Test
    public void sendsNothingToAWorkerDrainedByTheListWhileDnsStillNamesIt() throws Exception {
        var a = worker();
        var b = worker();
        dns.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", b, 0, "w2"));
        start("1h", "0.2");
        awaitServing("w1", "w2");
        Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1") == 1);
        try (var load = new Load(0)) {
            Program.await("both used", () -> a.count("Q") > 5 && b.count("Q") > 5);
            // the list names the same address s-5be2 that DNS names w1
            discovery.send(
                    "{\"revision\":43,\"complete\":false,\"members\":[" + a.member("s-5be2", 0, "DRAINING") + "]}");
            Thread.sleep(2000);
            long partsBefore = a.count("Q");
            long lookups = dns.seen.size();
            Program.await("DNS was queried again and still names w1", () -> dns.seen.size() > lookups + 3);
            assertEquals(partsBefore, a.count("Q"));
            discovery.send(
                    "{\"revision\":44,\"complete\":false,\"members\":[" + a.member("s-5be2", 0, "DELETED") + "]}");
            Thread.sleep(1500);
            assertEquals("DNS still names a worker that left the list", partsBefore, a.count("Q"));
            assertEquals("no query lost", 0, load.failed.get());
        }
        assertTrue(logged(
                "node=w1 state=DRAINING cause=its address 127.0.0.1:" + a.port()
                        + " is s-5be2's, drained by list at revision 43"));
    }

    @Test
    public void keepsServingWhenDnsAnswersWithoutAnyRecord() throws Exception {
        var a = worker();
        var b = worker();
        dns.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", b, 0, "w2"));
        start("1h", "0.2");
        awaitServing("w1", "w2");
        try (var load = new Load(0)) {
            dns.setNegativeAnswers(true, null);
            dns.set(SERVICE, Type.SRV);
            Program.await("several empty answers", () -> dns.seen.stream().filter(s -> s.endsWith("SRV")).count() > 6);
            assertEquals(0, load.failed.get());
            dns.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", b, 0, "w2"));
            Thread.sleep(500);
            assertEquals(0, load.failed.get());
        }
    }

    @Test
    public void suppressesAnUnreachableWorkerAndReplacesOneWhoseNameMoved() throws Exception {
        var a = worker();
        var b = worker();
        var c = worker();
        var gone = worker();
        dns.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", b, 0, "w2"), target("n3", c, 1, "w3"),
                target("n4", gone, 0, "w4"));
        gone.close();
        start("1h", "0.2");
        awaitServing("w1", "w2", "w3", "w4");
        try (var load = new Load(0, 1)) {
            Program.await("w4 suppressed", () -> logged("node=w4 state=DRAINING cause=suppressed: connections failed"));
            // the host name n2 now belongs to a worker of the other cell, at another address
            var moved = worker();
            dns.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", moved, 1, "w9"), target("n3", c, 1, "w3"));
            awaitServing("w9");
            Program.await("the old worker drains", () -> logged("node=w2 state=DRAINING"));
            Program.await("the new worker is used", () -> moved.count("Q") > 3);
            Thread.sleep(300);
            long partsBefore = b.count("Q");
            Thread.sleep(500);
            assertEquals(partsBefore, b.count("Q"));
            synchronized (moved.seen) {
                assertTrue("received a part of a foreign shard", moved.seen.stream().filter(s -> s.startsWith("Q"))
                        .allMatch(s -> s.split(" ")[1].equals("1")));
            }
            assertEquals(0, load.failed.get());
        }
    }

    @Test
    public void dropsWorkersAfterMaxAgeOfDnsFailuresAndRestoresThem() throws Exception {
        var a = worker();
        dns.service(SERVICE, 0, target("n1", a, 0, "w1"));
        start("2s", "1");
        awaitServing("w1");
        try (var load = new Load(0)) {
            dns.setFault(DnsServer.Fault.SERVFAIL);
            Program.await("the cause is logged", () -> logged("SERVFAIL"));
            assertEquals("the last valid answer stays in use", 0, load.failed.get());
            Program.await("w1 drains after max age", () -> logged(
                    "node=w1 state=DRAINING cause=no report from dns " + SERVICE + " for more than 2 s"));
        }
        long begun = System.nanoTime();
        assertEquals("rejected without waiting", 503, Client.post(program.port, "r", "all", 1900, 0).status);
        assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(1));
        dns.setFault(DnsServer.Fault.NONE);
        Program.await("served again", () -> {
            try {
                return Client.post(program.port, "s" + System.nanoTime(), "all", 1900, 0).status == 200;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    @Test
    public void logsJsonLinesWithTheSetLevels() throws Exception {
        operator = folder.newFile("operator.yaml").toPath();
        Files.writeString(operator, "logging: {format: json, levels: {service: warn}}\n");
        var a = worker();
        program = new Program(discovery.port(), a.member("a", 0, "SERVING"), operator);
        open.add(program);
        Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1") == 1);
        Thread.sleep(100);
        discovery.send("{\"revision\":43,\"complete\":false,\"members\":[" + a.member("a", 0, "DRAINING") + "]}");
        Program.await("the change", () -> logged("DRAINING"));
        var json = new com.fasterxml.jackson.databind.ObjectMapper();
        for (String line : List.copyOf(program.log)) {
            var event = json.readTree(line);
            assertTrue(line, event.has("timestamp") && event.has("level") && event.has("formattedMessage"));
            assertTrue("below the set level: " + line, !event.get("loggerName").asText().contains("Service"));
        }
        assertTrue("the worker is a field of the event", logged("\"node\":\"a\""));
    }

    @Test
    public void reloadsTheOperatorFileAndKeepsTheOldSettingsOnAnError() throws Exception {
        var a = worker();
        dns.service(SERVICE, 0, target("n1", a, 0, "w1"));
        start("1h", "0.2");
        awaitServing("w1");
        Files.writeString(operator, "sources:\n  dsn: {}\n");
        program.hangUp();
        Program.await("the error is logged", () -> logged("line 2: sources.dsn: is unknown; did you mean dns?"));
        assertEquals(200, Client.post(program.port, "q1", "all", 1900, 0).status);
        try (var other = new DnsServer()) {
            other.service(SERVICE, 0, target("n1", a, 0, "w1"), target("n2", worker(), 0, "w2"));
            write(other.port(), "1h", "0.2");
            program.hangUp();
            awaitServing("w2");
        }
    }
}
