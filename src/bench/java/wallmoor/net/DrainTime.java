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
 * The longest time from a drain that the list tells to the last new frame at the drained node, over 200 seeded drains
 * of the real program under load while DNS lies in one way or another. Four programs at a time; prints the
 * distribution.
 */
public final class DrainTime {
    private static final String SERVICE = "_calendar._tcp.fleet.example";
    private static final int PROGRAMS = 4;
    private static final int DRAINS = 50;
    /** What DNS does while the list drains: goes on naming the node, or worse. */
    private static final String[] LIES = {"names it", "renames it", "fails", "is silent", "drops all",
        "comes and goes"};

    private DrainTime() {}

    /** A node that notes when its last frame came. */
    private static final class Node {
        final AtomicLong lastFrame = new AtomicLong();
        final StandIn.Worker worker;

        Node() throws Exception {
            worker = new StandIn.Worker(id -> {
                lastFrame.set(System.nanoTime());
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

    /** Runs all. */
    public static void main(String[] args) throws Exception {
        var times = new ConcurrentHistogram(10_000_000, 3);
        var failed = new AtomicInteger();
        var asked = new AtomicInteger();
        var threads = new ArrayList<Thread>();
        for (int p = 0; p < PROGRAMS; p++) {
            int seed = p;
            var thread = new Thread(() -> {
                try {
                    drains(seed, times, asked, failed);
                } catch (Exception e) {
                    e.printStackTrace();
                    failed.addAndGet(1_000_000);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread t : threads) {
            t.join();
        }
        System.out.printf("drains %d, queries %d, not whole %d%n", times.getTotalCount(), asked.get(), failed.get());
        System.out.printf("told to last new frame, ms: p50 %.1f  p90 %.1f  p99 %.1f  most %.1f (allowed 2000)%n",
                ms(times, 50), ms(times, 90), ms(times, 99), ms(times, 100));
        System.exit(0);
    }

    private static double ms(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1e3;
    }

    private static void drains(int seed, Histogram times, AtomicInteger asked, AtomicInteger failed) throws Exception {
        var random = new Random(seed);
        Node a = new Node();
        Node b = new Node();
        try (var dns = new DnsServer(); var discovery = new StandIn.Discovery()) {
            dns.service(SERVICE, 0, a.target("w1"), b.target("w2"));
            Path operator = Files.createTempFile("operator", ".yaml");
            Files.writeString(operator, "sources:\n  dns:\n    servers: [\"127.0.0.1:" + dns.port() + "\"]\n"
                    + "    names: [{name: " + SERVICE
                    + "}]\n    least_ttl: 100ms\n    most_ttl: 1s\n    timeout: 100ms\n");
            try (var program = new Program(discovery.port(), "", operator)) {
                Program.await("a watch", () -> discovery.count("GET /api/targets?stream=1") == 1);
                Thread.sleep(200);
                discovery.send(list(1, a, "SERVING", b, "SERVING"));
                Thread.sleep(300);
                var over = new AtomicBoolean();
                var load = new ArrayList<Thread>();
                for (int i = 0; i < 4; i++) {
                    load.add(new Thread(() -> load(program, over, asked, failed)));
                }
                load.forEach(Thread::start);
                for (int run = 0; run < DRAINS; run++) {
                    one(random, run, dns, discovery, a, b, times);
                }
                over.set(true);
                for (Thread t : load) {
                    t.join();
                }
            }
        }
    }

    private static void one(Random random, int run, DnsServer dns, StandIn.Discovery discovery, Node a, Node b,
            Histogram times) throws Exception {
        String lie = LIES[random.nextInt(LIES.length)];
        Node drained = random.nextBoolean() ? a : b;
        lie(lie, dns, a, b);
        Thread.sleep(random.nextInt(400));
        long told = System.nanoTime();
        discovery.send(
                list(2 * run + 2, a, drained == a ? "DRAINING" : "SERVING", b, drained == b ? "DRAINING" : "SERVING"));
        Thread.sleep(300);
        if (lie.equals("comes and goes")) {
            lie("drops all", dns, a, b);
            Thread.sleep(200);
            lie("names it", dns, a, b);
        }
        Thread.sleep(400);
        times.recordValue(Math.max(0, (drained.lastFrame.get() - told) / 1000));
        dns.setFault(DnsServer.Fault.NONE);
        lie("names it", dns, a, b);
        discovery.send(list(2 * run + 3, a, "SERVING", b, "SERVING"));
        Thread.sleep(200 + random.nextInt(100));
    }

    private static void lie(String how, DnsServer dns, Node a, Node b) {
        switch (how) {
            case "renames it" -> dns.service(SERVICE, 0, a.target("x1"), b.target("x2"));
            case "fails" -> dns.setFault(DnsServer.Fault.SERVFAIL);
            case "is silent" -> dns.setFault(DnsServer.Fault.SILENT);
            case "drops all" -> dns.set(SERVICE, Type.SRV);
            default -> dns.service(SERVICE, 0, a.target("w1"), b.target("w2"));
        }
    }

    private static String list(int revision, Node a, String stateA, Node b, String stateB) {
        return "{\"revision\":" + (42 + revision) + ",\"complete\":false,\"members\":[" + List.of(
                a.worker.member("w1", 0, stateA), b.worker.member("w2", 0, stateB)).toString()
                .replaceAll("^\\[|\\]$", "")
                + "]}";
    }

    private static void load(Program program, AtomicBoolean over, AtomicInteger asked, AtomicInteger failed) {
        while (!over.get()) {
            try {
                int status = Client.post(program.port, "d" + asked.incrementAndGet(), "all", 1900, 0).status;
                failed.addAndGet(status == 200 ? 0 : 1);
            } catch (java.io.IOException e) {
                failed.incrementAndGet();
            }
        }
    }
}
