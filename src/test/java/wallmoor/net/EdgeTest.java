package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import java.util.zip.GZIPOutputStream;
import org.junit.Test;
import wallmoor.edge.EdgeRequest;
import wallmoor.standin.LinkProxy;
import wallmoor.standin.LinkProxy.Fate;

/**
 * Guards against queries of a device that run twice or lose their outcome. The edge of the real program gets them by
 * HTTP from a third-party client, over links that break at chosen bytes.
 */
public class EdgeTest extends EdgeFixture {
    @Test
    public void returnsSameAnswerAndRunsOnceWhenQueryIsRepeated() throws Exception {
        start(id -> "ok");
        String id = id();
        var first = put(id, body("once", "q", 0));
        assertEquals(text(first), 200, first.statusCode());
        assertTrue(text(first),
                text(first).startsWith("{\"outcome\":\"answered\",\"complete\":true,\"hits\":[{\"shard\":0,"));
        for (int i = 0; i < 3; i++) {
            assertArrayEquals(first.body(), put(id, body("once", "q", 0)).body());
            assertArrayEquals(first.body(), get(httpPort, id).body());
        }
        assertEquals("members in another order are the same query", 200,
                put(id, "{\"q\":\"q\",\"shards\":[{\"weight\":1,\"shard\":0}],\"deadline_ms\":1900,\"class\":\"once\"}")
                        .statusCode());
        assertEquals(1, parts(""));
        var other = put(id, body("once", "other", 0));
        assertEquals(409, other.statusCode());
        assertEquals("application/problem+json", other.headers().firstValue("Content-Type").orElse(""));
        assertEquals(404, get(httpPort, id()).statusCode());
        assertEquals("an id without a date", 400, put("mine", body("once", "q", 0)).statusCode());
        assertEquals("is allowed for a repeatable class", 200, put("mine", body("all", "q", 0)).statusCode());
        assertEquals(400, put(id(), body("nobody", "q", 0)).statusCode());
        assertEquals(400, put(id(), "{").statusCode());
        assertEquals(400, put(id(), body("all", "q", 0).replace("1900", "0")).statusCode());
        assertEquals(2, parts(""));
    }

    /** Guards against a payment that is applied twice when a device repeats its request at another gatherer. */
    @Test
    public void sendsTheSameIdempotencyKeyForDeviceAndIdAtEachGatherer() throws Exception {
        configChange = Program::withKeyedClass;
        start(id -> "ok");
        String id = id();
        assertEquals(200, put(id, body("once", "q", 0)).statusCode());
        assertEquals(200, put(id(), body("all", "q", 0)).statusCode());
        var d2 = request(httpPort, "d2", id).PUT(HttpRequest.BodyPublishers.ofString(body("once", "q", 0))).build();
        assertEquals(200, http.send(d2, BodyHandlers.ofString()).statusCode());
        var frames = worker.seen.stream().filter(frame -> frame.startsWith("Q")).toList();
        // the key must depend on nothing that differs between gatherers
        assertTrue(frames.toString(), frames.get(0).contains(",k=" + workerKey("d1", id) + " "));
        assertFalse("a class without keys", frames.get(1).contains(",k="));
        assertTrue(frames.toString(), frames.get(2).contains(",k=" + workerKey("d2", id) + " "));
    }

    private static String workerKey(String device, String id) {
        return HexFormat.of().formatHex(EdgeRequest.sha256((device + "/" + id).getBytes(UTF_8)), 0, 16);
    }

    /** Guards against a device that never learns the outcome of a query whose class was removed meanwhile. */
    @Test
    public void returnsOutcomeOfRepeatedQueryAfterReloadRemovedItsClass() throws Exception {
        start(id -> "ok");
        String id = id();
        var first = put(id, body("once", "q", 0));
        assertEquals(200, first.statusCode());
        reload("\"Name\":\"once\"", "\"Name\":\"single\"");
        assertArrayEquals(first.body(), put(id, body("once", "q", 0)).body());
        assertEquals("another query", 409, put(id, body("once", "r", 0)).statusCode());
        var other = put(id(), body("once", "q", 0));
        assertEquals(text(other), 400, other.statusCode());
        assertEquals(1, worker.count("Q"));
    }

    /** Guards against parts to workers that do not hold them: a changed layout takes effect at the next start. */
    @Test
    public void keepsTheShardLayoutOfTheStartAfterReload() throws Exception {
        start(id -> "ok");
        reload("\"Slabs\":4", "\"Slabs\":8");
        var outside = put(id(), body("all", "q", 6));
        assertEquals(text(outside), 400, outside.statusCode());
        assertEquals(200, put(id(), body("all", "q", 0)).statusCode());
    }

    /** Guards against "never" for a query that may be repeated and was rejected after workers failed its parts. */
    @Test
    public void reportsThatRejectedQueryMayHaveRun() throws Exception {
        start(id -> "err");
        var rejected = put(id(), body("all", "q", 0));
        assertEquals(text(rejected), 503, rejected.statusCode());
        assertTrue(text(rejected), text(rejected).contains("\"outcome\":\"refused\",\"ran\":\"maybe\""));
    }

    /** Changes the configuration file and has the program read it again. */
    private void reload(String from, String to) throws Exception {
        String config = Files.readString(program.file);
        assertTrue(config, config.contains(from));
        program.reload(0, config.replace(from, to));
        Program.await("read again", () -> program.log.stream().anyMatch(l -> l.contains("configuration read again")));
    }

    @Test
    public void separatesQueriesOfDevicesAndRefusesRevokedDevices() throws Exception {
        start(id -> "ok");
        String id = id();
        assertEquals(200, put(id, body("once", "q", 0)).statusCode());
        assertEquals(404, http.send(request(httpPort, "d2", id).GET().build(), BodyHandlers.ofString()).statusCode());
        var d2 = http.send(
                request(httpPort, "d2", id).PUT(HttpRequest.BodyPublishers.ofString(body("once", "mine", 0))).build(),
                BodyHandlers.ofString());
        assertEquals("the same id of another device is another query", 200, d2.statusCode());
        for (String token : new String[] {"", "d1.wrong", "nobody.secret", "d1"}) {
            var response = http.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + httpPort + "/queries/" + id))
                            .header("Authorization", "Bearer " + token).build(),
                    BodyHandlers.ofString());
            assertEquals("token '" + token + "'", 401, response.statusCode());
        }
        Files.writeString(devices, "device,sha256\n" + row("d2") + "d3,short\n");
        Program.await("the fault of the devices file is logged", () -> {
            synchronized (program.log) {
                return program.log.stream().anyMatch(l -> l.contains("devices.csv line 3: is not DEVICE,SHA256"));
            }
        });
        assertEquals("the last valid file stays in force", 200, get(httpPort, id).statusCode());
        Files.writeString(devices, "device,sha256\n" + row("d2"));
        Program.await("the revoked device is refused", () -> {
            try {
                return get(httpPort, id).statusCode() == 401;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    public void runsQueryOnceAndDeliversItsOutcomeWhereverTheLinkBreaks() throws Exception {
        start(id -> {
            sleep(60);
            return "ok";
        });
        byte[] query = body("once", "q", 0).getBytes(UTF_8);
        String idOverIntactLink = id();
        byte[] expected = put(httpPort, idOverIntactLink, query).body();
        int requestBytes = 700;
        var fates = new ArrayList<Fate>();
        for (int cut = 0; cut <= requestBytes; cut += 100) { // during the request, after it, and while the part is out
            fates.add(new Fate(cut, -1, 0, 0, false));
        }
        for (int cut = 0; cut <= 320; cut += 64) { // before the first byte of the answer and after each 64 bytes
            fates.add(new Fate(-1, cut, 0, 0, false));
        }
        fates.add(new Fate(-1, 100, 0, 0, true));
        fates.add(new Fate(-1, -1, 5, 40, false));
        for (Fate fate : fates) {
            long before = parts("");
            String id = id();
            try (var proxy = new LinkProxy(httpPort, 1, (n, r) -> n == 0 ? fate : Fate.GOOD)) {
                byte[] got = null;
                for (int tries = 0; got == null && tries < 5; tries++) {
                    try {
                        var newClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
                        var response = newClient.send(request(proxy.port(), "d1", id).timeout(Duration.ofSeconds(2))
                                .PUT(HttpRequest.BodyPublishers.ofByteArray(query)).build(),
                                BodyHandlers.ofByteArray());
                        got = response.statusCode() == 200 ? response.body() : null;
                    } catch (IOException e) {
                        // the link broke: the query is repeated under the same id
                    }
                }
                // answers differ only by the part's id in its value, and all ids have the same length
                assertEquals("length of the answer: " + fate, expected.length, got == null ? -1 : got.length);
                assertEquals(fate + ": parts run", before + 1, parts(""));
            }
        }
    }

    @Test
    public void resumesInterruptedAnswersWithRangeRequests() throws Exception {
        String large = "x".repeat(20_000);
        start(id -> "ok");
        worker.value = large;
        String id = id();
        byte[] complete = put(id, body("once", "q", 0)).body();
        assertTrue("" + complete.length, complete.length > 20_000);
        var got = new ByteArrayOutputStream();
        String etag = null;
        for (int n = 0; got.size() < complete.length; n++) {
            int cut = 3000 + 64 * n;
            try (var proxy = new LinkProxy(httpPort, 1, (c, r) -> new Fate(-1, cut, 0, 0, false));
                    var client = new Client(proxy.port())) {
                client.send(
                        "GET /queries/" + id + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token("d1") + "\r\n"
                                + (etag == null ? "" : "If-Range: " + etag + "\r\nRange: bytes=" + got.size() + "-\r\n")
                                + "\r\n");
                String head = Client.head(client.socket.getInputStream());
                assertTrue(head, head.startsWith(etag == null ? "HTTP/1.1 200" : "HTTP/1.1 206"));
                etag = head.replaceAll("(?s).*ETag: (\\S+)\r\n.*", "$1");
                try {
                    for (int b = 0; b >= 0 && got.size() < complete.length;) {
                        b = client.socket.getInputStream().read();
                        if (b >= 0) {
                            got.write(b);
                        }
                    }
                } catch (IOException e) {
                    // the link broke: the next request asks for the rest
                }
            }
        }
        assertArrayEquals(complete, got.toByteArray());
        assertEquals(416, get(httpPort, id, "Range", "bytes=" + complete.length + "-").statusCode());
        assertEquals("If-Range names another version: the complete answer", 200,
                get(httpPort, id, "Range", "bytes=5-", "If-Range", "\"old\"").statusCode());
        assertArrayEquals(Arrays.copyOfRange(complete, complete.length - 7, complete.length),
                get(httpPort, id, "Range", "bytes=-7").body());
        for (String coding : new String[] {"gzip", "zstd"}) {
            var packed = get(httpPort, id, "Accept-Encoding", coding);
            assertEquals(coding, packed.headers().firstValue("Content-Encoding").orElse(""));
            assertTrue(packed.body().length < complete.length / 10);
            assertNotEquals(etag, packed.headers().firstValue("ETag").orElse(""));
            var rest = get(httpPort, id, "Accept-Encoding", coding, "Range", "bytes=20-", "If-Range",
                    packed.headers().firstValue("ETag").orElse(""));
            assertArrayEquals(Arrays.copyOfRange(packed.body(), 20, packed.body().length), rest.body());
        }
        assertEquals(1, parts(""));
        worker.value = "x".repeat(40_000);
        var tooLarge = put(id(), body("once", "q", 0, 2));
        assertEquals("the answers together exceed the limit", 502, tooLarge.statusCode());
        assertTrue(text(tooLarge),
                text(tooLarge).contains("\"ran\":\"maybe\"") && text(tooLarge).contains("65536 bytes"));
    }

    @Test
    public void acceptsCompressedAndPartialBodiesAndRefusesCompressionBombs() throws Exception {
        start(id -> "ok");
        byte[] plain = body("once", "q".repeat(3000), 0).getBytes(UTF_8);
        var packed = new ByteArrayOutputStream();
        try (var gzip = new GZIPOutputStream(packed)) {
            gzip.write(plain);
        }
        byte[] zstd = com.github.luben.zstd.Zstd.compress(plain);
        assertEquals(200, put(httpPort, id(), packed.toByteArray(), "Content-Encoding", "gzip").statusCode());
        assertEquals(200, put(httpPort, id(), zstd, "Content-Encoding", "zstd").statusCode());
        assertEquals(415, put(httpPort, id(), zstd, "Content-Encoding", "br").statusCode());
        assertEquals(400,
                put(httpPort, id(), Arrays.copyOf(zstd, zstd.length - 5), "Content-Encoding", "zstd").statusCode());
        byte[] bomb = com.github.luben.zstd.Zstd.compress(new byte[50_000_000]);
        assertEquals("the compression window is larger than allowed", 400,
                put(httpPort, id(), bomb, "Content-Encoding", "zstd").statusCode());
        packed.reset();
        try (var gzip = new GZIPOutputStream(packed)) {
            gzip.write(new byte[50_000_000]);
        }
        assertEquals(413, put(httpPort, id(), packed.toByteArray(), "Content-Encoding", "gzip").statusCode());
        String id = id();
        for (int from = 0; from < plain.length; from += 1000) {
            int to = Math.min(plain.length, from + 1000);
            for (int twice = 0; twice < 2 && to < plain.length; twice++) { // repeated, as after a lost answer
                var response = put(httpPort, id, Arrays.copyOfRange(plain, from, to), "Content-Range",
                        "bytes " + from + "-" + (to - 1) + "/" + plain.length);
                assertEquals(202, response.statusCode());
                assertEquals("" + to, response.headers().firstValue("Upload-Offset").orElse(""));
            }
            if (to == plain.length) {
                assertEquals("" + from, get(httpPort, id).headers().firstValue("Upload-Offset").orElse(""));
                assertEquals(200, put(httpPort, id, Arrays.copyOfRange(plain, from, to), "Content-Range",
                        "bytes " + from + "-" + (to - 1) + "/" + plain.length).statusCode());
            }
        }
        assertEquals(400, put(httpPort, id(), new byte[5], "Content-Range", "bytes 0-9/10").statusCode());
        assertEquals(3, parts(""));
    }

    @Test
    public void cancelsOnlyRepeatableQueriesWhenTheirClientDisconnects() throws Exception {
        start(id -> null);
        for (String c : new String[] {"all", "once"}) {
            try (var client = new Client(httpPort)) {
                String body = body(c, "q", 0);
                client.send("PUT /queries/" + id() + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token("d1")
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                long sent = c.equals("all") ? 1 : 2;
                Program.await("the part is sent", () -> parts("") >= sent);
            }
        }
        Program.await("the repeatable query is cancelled", () -> worker.count("X") >= 1);
        long cancelled = worker.count("X");
        assertEquals(1, cancelled);
        Thread.sleep(400);
        assertEquals("cancelled parts: a query of class once continues", 1, worker.count("X"));
        Program.await("the query of class once is cancelled at its deadline", () -> worker.count("X") == 2);
    }

    @Test
    public void reportsPendingFailedAndRefusedQueriesAsSuch() throws Exception {
        start(id -> id.endsWith(".2") ? "busy" : id.endsWith(".0") ? null : "err");
        String id = id();
        var pending = put(id, body("once", "silent", 0), "Prefer", "wait=0");
        assertEquals(202, pending.statusCode());
        assertEquals("/queries/" + id, pending.headers().firstValue("Location").orElse(""));
        var failed = get(httpPort, id, "Prefer", "wait=10");
        assertEquals(502, failed.statusCode());
        assertTrue(text(failed), text(failed).contains("\"outcome\":\"failed\",\"ran\":\"maybe\""));
        assertArrayEquals("a repeated query gets the same outcome", failed.body(),
                put(id, body("once", "silent", 0)).body());
        var refused = put(id(), body("once", "nobody holds it", 1));
        assertEquals(503, refused.statusCode());
        assertTrue(text(refused), text(refused).contains("\"outcome\":\"refused\",\"ran\":\"never\""));
        assertTrue(Integer.parseInt(refused.headers().firstValue("Retry-After").orElse("0")) >= 1);
    }

    @Test
    public void deliversOutcomesOfRunningQueriesAfterSigterm() throws Exception {
        start(id -> {
            sleep(300);
            return "ok";
        });
        String id = id();
        var response = http
                .sendAsync(request(httpPort, "d1", id).PUT(HttpRequest.BodyPublishers.ofString(body("once", "q", 0)))
                        .build(), BodyHandlers.ofByteArray());
        Program.await("the part is sent", () -> parts("") == 1);
        program.process.toHandle().destroy();
        assertEquals(200, response.get(10, TimeUnit.SECONDS).statusCode());
        assertEquals("read again during the shutdown", 200, get(httpPort, id).statusCode());
        assertTrue(program.process.waitFor(10, TimeUnit.SECONDS));
    }
}
