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
import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Rule;
import org.junit.rules.TemporaryFolder;
import wallmoor.edge.EdgeRequest;
import wallmoor.standin.Ports;

/** Starts the real program with an edge, one stand-in worker and two devices, and sends requests by HTTP. */
abstract class EdgeFixture {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    final List<AutoCloseable> open = new ArrayList<>();
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5)).build();
    /** Applied to the configuration of the program. */
    UnaryOperator<String> configChange = UnaryOperator.identity();
    Program program;
    StandIn.Worker worker;
    Path devices;
    int httpPort;
    int coapPort;

    void start(Function<String, String> answer) throws Exception {
        start(answer, "");
    }

    /** Returns the configuration with clients of all classes that wait for 4 s, longer than a shutdown takes. */
    static String withLongTimeouts(String config) {
        return config.replace("\"GiveUp\":2000000", "\"GiveUp\":4000000");
    }

    /** Returns the body of a query whose device waits for 4 s. */
    static String bodyWithLongTimeout(String queryClass, int... shards) {
        return body(queryClass, "q", shards).replace("\"deadline_ms\":1900", "\"deadline_ms\":4000");
    }

    /**
     * Starts the worker, discovery and the program.
     *
     * @param answer      what the worker answers to a part, by the part's id; null for no answer
     * @param moreOptions lines that are added to the operator's file
     */
    void start(Function<String, String> answer, String moreOptions) throws Exception {
        worker = new StandIn.Worker(answer);
        open.add(worker);
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
                + "  grace: 500ms\n" + moreOptions);
        program = new Program(discovery.port(), worker.member("a", 0, "SERVING"), operator, 1024, configChange);
        open.add(program);
        Thread.sleep(150); // the edge refuses ids dated before its start, and clock skew may make the first ids look so
    }

    /** Returns a device's line of the devices file. */
    static String row(String device) {
        return device + "," + HexFormat.of().formatHex(EdgeRequest.sha256(token(device).getBytes(UTF_8))) + "\n";
    }

    static String token(String device) {
        return device + ".secret-of-" + device;
    }

    /** Returns a new id that contains the current time. */
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
        var builder = request(port, "d1", id).PUT(HttpRequest.BodyPublishers.ofByteArray(body));
        return http.send((headers.length == 0 ? builder : builder.headers(headers)).build(),
                BodyHandlers.ofByteArray());
    }

    HttpResponse<byte[]> get(int port, String id, String... headers) throws Exception {
        var builder = request(port, "d1", id).GET();
        return http.send((headers.length == 0 ? builder : builder.headers(headers)).build(),
                BodyHandlers.ofByteArray());
    }

    static String text(HttpResponse<byte[]> response) {
        return new String(response.body(), UTF_8);
    }

    /** Returns how many messages with this prefix the worker has received; an empty prefix counts parts. */
    long parts(String prefix) {
        return worker.count(prefix.isEmpty() ? "Q" : prefix);
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
