package wallmoor.net;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Type;
import wallmoor.standin.DnsServer;

/**
 * Measures the longest time from a drain announced by the discovery list to the last new frame at the drained node,
 * over 200 seeded drains of the real program under load, while DNS contradicts the list or fails. Runs four programs at
 * a time and prints the distribution.
 */
public final class DrainTime {
    private static final String SERVICE = "_calendar._tcp.fleet.example";
    private static final int PROGRAMS = 4;
    private static final int DRAINS_PER_PROGRAM = 50;
    /** What DNS does while the list drains a node: it still lists the node, or behaves worse. */
    private static final String[] DNS_BEHAVIOURS = {
        "lists nodes", "lists other ids", "fails", "never replies", "empty answer", "flapping"};

    private DrainTime() {}

    /** A node that records when its last frame arrived. */
    private static final class Node {
        final AtomicLong lastFrameNanos = new AtomicLong();
        final StandIn.Worker worker;

        Node() throws Exception {
            worker = new StandIn.Worker(id -> {
                lastFrameNanos.set(System.nanoTime());
                try {
                    Thread.sleep(3);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return "ok";
            });
        }

        String target(String id) {
            return id + ".example:" + worker.port() + ":0:1:cell=0,id=" + id;
        }
    }

    /** Runs all programs and prints the latencies. */
    public static void main(String[] args) throws Exception {
        var drainMicros = new ConcurrentHistogram(10_000_000, 3);
        var failed = new AtomicInteger();
        var queries = new AtomicInteger();
        var threads = new ArrayList<Thread>();
        for (int seedNumber = 0; seedNumber < PROGRAMS; seedNumber++) {
            int seed = seedNumber;
            var thread = new Thread(() -> {
                try {
                    runProgram(seed, drainMicros, queries, failed);
                } catch (Exception e) {
                    e.printStackTrace();
                    failed.addAndGet(1_000_000);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf("drains %d, queries %d, not whole %d%n", drainMicros.getTotalCount(), queries.get(),
                failed.get());
        System.out.printf("told to last new frame, ms: p50 %.1f  p90 %.1f  p99 %.1f  most %.1f (allowed 2000)%n",
                ms(drainMicros, 50), ms(drainMicros, 90), ms(drainMicros, 99), ms(drainMicros, 100));
        System.exit(0);
    }

    private static double ms(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e3;
    }

    private static void runProgram(int seed, Histogram drainMicros, AtomicInteger queries, AtomicInteger failed)
            throws Exception {
        var random = new Random(seed);
        Node nodeA = new Node();
        Node nodeB = new Node();
        try (var dns = new DnsServer(); var discovery = new StandIn.Discovery()) {
            dns.service(SERVICE, 0, nodeA.target("w1"), nodeB.target("w2"));
            Path operator = Files.createTempFile("operator", ".yaml");
            Files.writeString(operator, "sources:\n  dns:\n    servers: [\"127.0.0.1:" + dns.port() + "\"]\n"
                    + "    names: [{name: " + SERVICE
                    + "}]\n    least_ttl: 100ms\n    most_ttl: 1s\n    timeout: 100ms\n");
            try (var program = new Program(discovery.port(), "", operator)) {
                Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1") == 1);
                Thread.sleep(200);
                discovery.send(discoveryList(1, nodeA, "SERVING", nodeB, "SERVING"));
                Thread.sleep(300);
                var isOver = new AtomicBoolean();
                var loadThreads = new ArrayList<Thread>();
                for (int i = 0; i < 4; i++) {
                    loadThreads.add(new Thread(() -> sendQueries(program, isOver, queries, failed)));
                }
                loadThreads.forEach(Thread::start);
                for (int run = 0; run < DRAINS_PER_PROGRAM; run++) {
                    measureDrain(random, run, dns, discovery, nodeA, nodeB, drainMicros);
                }
                isOver.set(true);
                for (Thread thread : loadThreads) {
                    thread.join();
                }
            }
        }
    }

    private static void measureDrain(Random random, int run, DnsServer dns, StandIn.Discovery discovery, Node nodeA,
            Node nodeB,
            Histogram drainMicros) throws Exception {
        String dnsBehaviour = DNS_BEHAVIOURS[random.nextInt(DNS_BEHAVIOURS.length)];
        Node drained = random.nextBoolean() ? nodeA : nodeB;
        setDnsBehaviour(dnsBehaviour, dns, nodeA, nodeB);
        Thread.sleep(random.nextInt(400));
        long drainSentNanos = System.nanoTime();
        discovery.send(
                discoveryList(2 * run + 2, nodeA, drained == nodeA ? "DRAINING" : "SERVING", nodeB, drained == nodeB
                        ? "DRAINING" : "SERVING"));
        Thread.sleep(300);
        if (dnsBehaviour.equals("flapping")) {
            setDnsBehaviour("empty answer", dns, nodeA, nodeB);
            Thread.sleep(200);
            setDnsBehaviour("lists nodes", dns, nodeA, nodeB);
        }
        Thread.sleep(400);
        drainMicros.recordValue(Math.max(0, (drained.lastFrameNanos.get() - drainSentNanos) / 1000));
        dns.setFault(DnsServer.Fault.NONE);
        setDnsBehaviour("lists nodes", dns, nodeA, nodeB);
        discovery.send(discoveryList(2 * run + 3, nodeA, "SERVING", nodeB, "SERVING"));
        Thread.sleep(200 + random.nextInt(100));
    }

    private static void setDnsBehaviour(String behaviour, DnsServer dns, Node nodeA, Node nodeB) {
        switch (behaviour) {
            case "lists other ids" -> dns.service(SERVICE, 0, nodeA.target("x1"), nodeB.target("x2"));
            case "fails" -> dns.setFault(DnsServer.Fault.SERVFAIL);
            case "never replies" -> dns.setFault(DnsServer.Fault.SILENT);
            case "empty answer" -> dns.set(SERVICE, Type.SRV);
            default -> dns.service(SERVICE, 0, nodeA.target("w1"), nodeB.target("w2"));
        }
    }

    private static String discoveryList(int revision, Node nodeA, String stateA, Node nodeB, String stateB) {
        return "{\"revision\":" + (42 + revision) + ",\"complete\":false,\"members\":[" + List.of(
                nodeA.worker.member("w1", 0, stateA), nodeB.worker.member("w2", 0, stateB)).toString()
                .replaceAll("^\\[|\\]$", "")
                + "]}";
    }

    private static void sendQueries(Program program, AtomicBoolean isOver, AtomicInteger queries,
            AtomicInteger failed) {
        while (!isOver.get()) {
            try {
                int status = Client.post(program.port, "d" + queries.incrementAndGet(), "all", 1900, 0).status;
                failed.addAndGet(status == 200 ? 0 : 1);
            } catch (java.io.IOException e) {
                failed.incrementAndGet();
            }
        }
    }
}
