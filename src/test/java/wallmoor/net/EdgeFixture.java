package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.uuid.Generators;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Function;
import org.junit.After;
import org.junit.Rule;
import org.junit.rules.TemporaryFolder;
import wallmoor.edge.EdgeRequest;
import wallmoor.standin.Ports;

/** The edge of the real program, for clients that were not written here, over links that break. */
abstract class EdgeFixture {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    final List<AutoCloseable> open = new ArrayList<>();
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5)).build();
    Program program;
    StandIn.Worker node;
    Path devices;
    int httpPort;
    int coapPort;

    void start(Function<String, String> answer) throws Exception {
        start(answer, "");
    }

    void start(Function<String, String> answer, String more) throws Exception {
        node = new StandIn.Worker(answer);
        open.add(node);
        var discovery = new StandIn.Discovery();
        open.add(discovery);
        devices = folder.newFile("devices.csv").toPath();
        Files.writeString(devices, "device,sha256\n" + row("d1") + row("d2"));
        httpPort = Ports.free();
        coapPort = Ports.free();
        Path operator = folder.newFile("operator.yaml").toPath();
        Files.writeString(operator, "edge:\n  devices: devices.csv\n  http: {listen: 127.0.0.1:" + httpPort
                + "}\n  coap: {listen: 127.0.0.1:" + coapPort
                + "}\n  skew: 50ms\n  asks_per_s: 1000\n  ask_burst: 5000\n"
                + "  grace: 500ms\n" + more);
        program = new Program(discovery.port(), node.member("a", 0, "SERVING"), operator);
        open.add(program);
        Thread.sleep(150); // ids of the first moments may be older than the start, by the clocks' slack
    }

    static String row(String device) {
        return device + "," + HexFormat.of().formatHex(EdgeRequest.sha256(token(device).getBytes(UTF_8))) + "\n";
    }

    static String token(String device) {
        return device + ".secret-of-" + device;
    }

    static String id() {
        return Generators.timeBasedEpochGenerator().generate().toString();
    }

    static String body(String queryClass, String q, int... shards) {
        return "{\"class\":\"" + queryClass + "\",\"deadline_ms\":1900,"
                + Client.body(shards).substring(1).replace("c41e77d0", q);
    }

    static HttpRequest.Builder request(int port, String device, String id) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/queries/" + id))
                .timeout(Duration.ofSeconds(10)).header("Authorization", "Bearer " + token(device));
    }

    HttpResponse<byte[]> put(String id, String body, String... headers) throws Exception {
        return put(httpPort, id, body.getBytes(UTF_8), headers);
    }

    HttpResponse<byte[]> put(int port, String id, byte[] body, String... headers) throws Exception {
        var r = request(port, "d1", id).PUT(HttpRequest.BodyPublishers.ofByteArray(body));
        return http.send((headers.length == 0 ? r : r.headers(headers)).build(), BodyHandlers.ofByteArray());
    }

    HttpResponse<byte[]> get(int port, String id, String... headers) throws Exception {
        var r = request(port, "d1", id).GET();
        return http.send((headers.length == 0 ? r : r.headers(headers)).build(), BodyHandlers.ofByteArray());
    }

    static String text(HttpResponse<byte[]> r) {
        return new String(r.body(), UTF_8);
    }

    long parts(String start) {
        return node.count(start.isEmpty() ? "Q" : start);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }
}
