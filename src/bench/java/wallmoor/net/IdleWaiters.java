package wallmoor.net;

import com.fasterxml.uuid.Generators;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import wallmoor.edge.EdgeRequest;
import wallmoor.standin.Ports;

/**
 * What queries of the plain front feel while 2,000 devices wait at the edge for outcomes; beside it with none waiting.
 */
public final class IdleWaiters {
    private static final int DEVICES = 2_000;
    private static final int QUERIES = 3_000;

    private IdleWaiters() {}

    /** Runs both. */
    public static void main(String[] args) throws Exception {
        var node = new StandIn.Worker(id -> "ok");
        Path folder = Files.createTempDirectory("idle");
        Files.writeString(folder.resolve("devices.csv"), "device,sha256\nd1,"
                + HexFormat.of().formatHex(EdgeRequest.sha256("d1.secret".getBytes())) + "\n");
        int http = Ports.free();
        Path operator = folder.resolve("operator.yaml");
        Files.writeString(operator,
                "edge:\n  devices: devices.csv\n  http: {listen: 127.0.0.1:" + http + ", most_clients: 2500}"
                        + "\n  skew: 50ms\n  asks_per_s: 10000\n  ask_burst: 10000\n  open_per_device: 100\n");
        try (var discovery = new StandIn.Discovery();
                var program = new Program(discovery.port(), node.member("a", 0, "SERVING"), operator)) {
            measure(program, "warming up");
            measure(program, "none waiting");
            // each has asked before, and keeps its connection open: half with a request that came only in part
            List<Client> waiting = new ArrayList<>();
            for (int i = 0; i < DEVICES; i++) {
                var c = new Client(http);
                c.send("GET /queries/" + Generators.timeBasedEpochGenerator().generate()
                        + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer d1.secret\r\nPrefer: wait=50\r\n\r\n");
                c.answer();
                if (i % 2 == 0) {
                    c.send("GET /queries/x HTTP/1.1\r\nHost: h\r\n");
                }
                waiting.add(c);
            }
            measure(program, waiting.size() + " waiting");
            System.out.println("resident kB of the program: " + Files
                    .readString(Path.of("/proc/" + program.process.pid()
                            + "/status"))
                    .lines().filter(l -> l.startsWith("VmRSS") || l.startsWith("Threads")).toList());
        }
        System.exit(0);
    }

    private static void measure(Program program, String what) throws Exception {
        var took = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        try (var client = new Client(program.port)) {
            for (int i = 0; i < QUERIES; i++) {
                long begun = System.nanoTime();
                client.send(Client.query(what.hashCode() + "-" + i, "all", 1900, 0)).answer();
                took.recordValue(System.nanoTime() - begun);
                Thread.sleep(1);
            }
        }
        System.out.printf("%-14s microseconds p50 %.0f p99 %.0f p99.9 %.0f most %.0f%n", what,
                took.getValueAtPercentile(50) / 1e3, took.getValueAtPercentile(99) / 1e3,
                took.getValueAtPercentile(99.9) / 1e3, took.getMaxValue() / 1e3);
    }
}
