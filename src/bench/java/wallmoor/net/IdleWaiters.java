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
 * Measures the latency of queries at the plain front while 2,000 devices wait at the edge for outcomes, compared with
 * none waiting.
 */
public final class IdleWaiters {
    private static final int DEVICES = 2_000;
    private static final int QUERIES = 3_000;

    private IdleWaiters() {}

    /** Measures both cases and prints a line for each. */
    public static void main(String[] args) throws Exception {
        var node = new StandIn.Worker(id -> "ok");
        Path folder = Files.createTempDirectory("idle");
        Files.writeString(folder.resolve("devices.csv"), "device,sha256\nd1,"
                + HexFormat.of().formatHex(EdgeRequest.sha256("d1.secret".getBytes())) + "\n");
        int edgePort = Ports.free();
        Path operator = folder.resolve("operator.yaml");
        Files.writeString(operator,
                "edge:\n  devices: devices.csv\n  http: {listen: 127.0.0.1:" + edgePort + ", most_clients: 2500}"
                        + "\n  skew: 50ms\n  asks_per_s: 10000\n  ask_burst: 10000\n  open_per_device: 100\n");
        try (var discovery = new StandIn.Discovery();
                var program = new Program(discovery.port(), node.member("a", 0, "SERVING"), operator)) {
            measure(program, "warming up");
            measure(program, "none waiting");
            // each device has sent a request and keeps its connection open; half sent an incomplete second one
            List<Client> waiting = new ArrayList<>();
            for (int i = 0; i < DEVICES; i++) {
                var client = new Client(edgePort);
                client.send("GET /queries/" + Generators.timeBasedEpochGenerator().generate()
                        + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer d1.secret\r\nPrefer: wait=50\r\n\r\n");
                client.answer();
                if (i % 2 == 0) {
                    client.send("GET /queries/x HTTP/1.1\r\nHost: h\r\n");
                }
                waiting.add(client);
            }
            measure(program, waiting.size() + " waiting");
            System.out.println("resident kB of the program: " + Files
                    .readString(Path.of("/proc/" + program.process.pid()
                            + "/status"))
                    .lines().filter(l -> l.startsWith("VmRSS") || l.startsWith("Threads")).toList());
        }
        System.exit(0);
    }

    private static void measure(Program program, String label) throws Exception {
        var latencyNanos = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        try (var client = new Client(program.port)) {
            for (int i = 0; i < QUERIES; i++) {
                long startNanos = System.nanoTime();
                client.send(Client.query(label.hashCode() + "-" + i, "all", 1900, 0)).answer();
                latencyNanos.recordValue(System.nanoTime() - startNanos);
                Thread.sleep(1);
            }
        }
        System.out.printf("%-14s microseconds p50 %.0f p99 %.0f p99.9 %.0f most %.0f%n", label,
                latencyNanos.getValueAtPercentile(50) / 1e3, latencyNanos.getValueAtPercentile(99) / 1e3,
                latencyNanos.getValueAtPercentile(99.9) / 1e3, latencyNanos.getMaxValue() / 1e3);
    }
}
