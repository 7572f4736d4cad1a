package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/**
 * Tests the OGC API Features front of the real program with stand-in feature servers. Cell 0 holds shards 0 and 2,
 * cell 1 the others.
 */
public class FeaturesTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new ArrayList<>();
    private Program program;
    private Path inventory;
    private int port;

    private StandIn.FeatureServer server(Function<String, String> answer) throws IOException {
        var server = new StandIn.FeatureServer(answer);
        open.add(server);
        return server;
    }

    /** Answers as a server with {@code total} features, at most two per page whatever limit is requested. */
    private static Function<String, String> pages(String name, int total) {
        return target -> {
            Matcher item = Pattern.compile("/collections/([\\w-]+)/items/([^?]+)").matcher(target);
            if (item.matches()) {
                String id = item.group(2);
                return id.startsWith(item.group(1).replaceAll(".*-", name) + "-") ? feature(id) : "404";
            }
            String shard = target.replaceAll(".*-([0-9]+)/items.*", name + "$1");
            int limit = Math.min(2, number(target, "limit"));
            int offset = number(target, "offset");
            var features = new ArrayList<String>();
            for (int i = offset; i < Math.min(total, offset + limit); i++) {
                features.add(feature(shard + "-" + i));
            }
            String next = offset + limit >= total ? "" : "{\"rel\":\"next\",\"href\":\""
                    + target.replaceAll("offset=\\d+", "offset=" + (offset + limit)) + "\"}";
            return "{\"type\":\"FeatureCollection\",\"links\":[" + next + "],\"features\":["
                    + String.join(",", features) + "]}";
        };
    }

    private static String feature(String id) {
        return "{\"type\":\"Feature\",\"id\":\"" + id + "\",\"geometry\":{\"type\":\"Point\",\"coordinates\":"
                + "[67.0300,24.81]},\"properties\":{\"free\":3}}";
    }

    private static int number(String target, String name) {
        Matcher m = Pattern.compile(name + "=(\\d+)").matcher(target);
        return m.find() ? Integer.parseInt(m.group(1)) : 0;
    }

    private void start(String yaml) throws Exception {
        start("inventory.yaml", yaml);
    }

    private void start(String file, String hosts) throws Exception {
        inventory = folder.newFile(file).toPath();
        Files.writeString(inventory, hosts);
        port = Ports.free();
        Path config = folder.newFile("operator.yaml").toPath();
        Files.writeString(config, "ogc:\n  listen: 127.0.0.1:" + port + "\n  inventory: " + file
                + "\n  collections:\n"
                + "    branches: {title: Branches, class: all, shards: [0, 1, 2]}\n"
                + "    holders: {title: Holders, class: all, shards: [0, 1]}\n"
                + "    quotes: {title: Quotes, class: any, shards: [0, 1]}\n"
                + "    holds: {title: Holds, class: once, shards: [0]}\n");
        var discovery = new StandIn.Discovery();
        open.add(discovery);
        program = new Program(discovery.port(), "", config);
        open.add(program);
    }

    /** Returns an inventory of these servers. Each server is followed by its settings, such as {@code cell: 0}. */
    private static String inventoryOf(Object... hosts) {
        var yaml = new StringBuilder("feature_servers:\n  vars: {zone: east, ansible_host: 127.0.0.1}\n  hosts:\n");
        for (int i = 0; i < hosts.length; i += 2) {
            yaml.append("    fs").append(i / 2).append(": {port: ").append(((StandIn) hosts[i]).port()).append(", ")
                    .append(hosts[i + 1]).append("}\n");
        }
        return yaml.toString();
    }

    private Client.Answer get(String target) throws IOException {
        return Client.get(port, target);
    }

    private static List<String> ids(String body) {
        var ids = new ArrayList<String>();
        Matcher m = Pattern.compile("\"id\":\"(\\w+-\\d+)\"").matcher(body);
        while (m.find()) {
            ids.add(m.group(1));
        }
        return ids;
    }

    /** Returns the target of the page's next link, or null if it has none. */
    private static String next(String body) {
        Matcher m = Pattern.compile("\"href\":\"http://localhost([^\"]*)\",\"rel\":\"next\"").matcher(body);
        return m.find() ? m.group(1) : null;
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    @Test
    public void servesResourcesOfTheStandardAndEachFeatureOnceInPages() throws Exception {
        var a = server(pages("a", 7));
        var b = server(pages("b", 3));
        start(inventoryOf(a, "cell: 0", b, "cell: 1"));
        assertTrue(get("/").body.contains("\"rel\":\"service-desc\""));
        assertTrue(get("/conformance").body.contains("ogcapi-features-1/1.0/conf/core"));
        assertTrue(get("/api").body.contains("/collections/branches/items/{featureId}"));
        assertTrue(get("/collections").body.contains("\"id\":\"holds\""));
        assertTrue(get("/collections/branches").body.contains("\"itemType\":\"feature\""));
        var seen = new ArrayList<String>();
        String target = "/collections/branches/items?limit=4&bbox=66,24,68,25&datetime=2026-01-01T00:00:00Z/..";
        while (target != null) {
            var page = get(target);
            assertEquals(page.body, 200, page.status);
            assertEquals("application/geo+json", page.header("Content-Type"));
            assertTrue(page.body, page.body.contains("\"numberReturned\":" + ids(page.body).size() + ","));
            assertTrue(page.body, page.body.contains("\"timeStamp\":\"20") && page.body.contains("\"complete\":true"));
            assertTrue("coordinates as the server wrote them", page.body.contains("[67.0300,24.81]"));
            assertTrue(ids(page.body).size() <= 4);
            seen.addAll(ids(page.body));
            target = next(page.body);
        }
        assertEquals("7 of shard 0, 7 of shard 2 at the same server, 3 of shard 1", 17, seen.size());
        assertEquals(17, seen.stream().distinct().count());
        assertTrue(a.seen.toString(), List.copyOf(a.seen).stream().anyMatch(
                t -> t.contains("&bbox=66%2C24%2C68%2C25&datetime=2026-01-01T00%3A00%3A00Z")));
        var one = get("/collections/branches/items/b1-1");
        assertEquals(200, one.status);
        assertTrue(one.body, one.body.contains("\"id\":\"b1-1\"") && one.body.contains("\"rel\":\"collection\""));
        assertEquals(404, get("/collections/branches/items/c-1").status);
        assertEquals("not found only if no shard has the feature", 404, get("/collections/quotes/items/c-1").status);
        assertEquals(200, get("/collections/quotes/items/b1-1").status);
    }

    @Test
    public void answersUnknownAndInvalidParametersWithStatus400() throws Exception {
        start(inventoryOf(server(pages("a", 1)), "cell: 0"));
        for (String bad : new String[] {"limit=0", "limit=x", "bbox=1,2,3", "bbox=1,9,3,4", "datetime=soon",
            "datetime=2026-02-01T00:00:00Z/2026-01-01T00:00:00Z", "colour=red", "limit=1&limit=2", "cursor=9.1",
            "bbox=%zz"}) {
            assertEquals(bad, 400, get("/collections/holds/items?" + bad).status);
        }
        assertEquals(400, get("/collections?limit=3").status);
        assertEquals(404, get("/collections/none/items").status);
        try (var client = new Client(port)) {
            assertEquals(405, client.send("DELETE /collections HTTP/1.1\r\nHost: h\r\n\r\n").answer().status);
        }
        assertEquals(200, get("/collections/holds/items?limit=99999").status);
    }

    @Test
    public void namesMissingShardsOrFailsWhenAPartFails() throws Exception {
        var broken = new AtomicBoolean(true);
        Function<String, String> good = pages("a", 5);
        // fails at the request for its second page, when the part may already have run
        var bad = server(t -> broken.get() && number(t, "offset") == 2 ? "503" : good.apply(t));
        start(inventoryOf(bad, "cell: 0", server(pages("b", 1)), "cell: 1"));
        assertEquals("fewer parts than the class requires", 502, get("/collections/branches/items").status);
        long before = bad.count("/collections/holds-0/items?limit=10&offset=2");
        assertEquals("the class does not allow repeats", 502, get("/collections/holds/items").status);
        assertEquals(before + 1, bad.count("/collections/holds-0/items?limit=10&offset=2"));
        // half of the parts is enough here: the page names the missing shard, and its next link requests that shard
        Program.await("a page without shard 0", () -> {
            try {
                var page = get("/collections/quotes/items");
                return page.status == 200 && page.body.contains("\"complete\":false,\"missingShards\":[0]")
                        && next(page.body).contains("cursor=0.0");
            } catch (IOException e) {
                return false;
            }
        });
        broken.set(false);
        Program.await("the features of shard 0", () -> {
            try {
                return ids(get("/collections/quotes/items?limit=9&cursor=0.0").body).size() == 5;
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    public void repeatsAllPagesOfAFailedPartAtAnotherServer() throws Exception {
        var failed = new AtomicBoolean();
        Function<String, String> good = pages("a", 4);
        Function<String, String> firstFails = t -> number(t, "offset") == 2 && failed.compareAndSet(false, true)
                ? "{\"type\":\"Feat" : good.apply(t);
        var one = server(firstFails);
        var other = server(firstFails);
        start(inventoryOf(one, "cell: 0", other, "cell: 0", server(pages("b", 0)), "cell: 1"));
        assertEquals(List.of("a0-0", "a0-1", "a0-2", "a0-3"), ids(get("/collections/holders/items").body));
        assertEquals("each server is asked for the first page", 2, one.count("/") / 2 + other.count("/") / 2);
        assertTrue(one.count("/") > 0 && other.count("/") > 0);
    }

    /** Guards against a part that runs twice because this front keeps the class of its start. */
    @Test
    public void doesNotRepeatPartOnceAReloadForbidsIt() throws Exception {
        var broken = server(t -> "!");
        var alsoBroken = server(t -> "!");
        start(inventoryOf(broken, "cell: 0", alsoBroken, "cell: 0", server(pages("b", 1)), "cell: 1"));
        get("/collections/holders/items");
        long before = broken.count("/") + alsoBroken.count("/");
        assertTrue("attempts of a part that may be repeated: " + before, before > 1);
        program.reload(0, Files.readString(program.file).replace("\"Repeat\":\"free\"", "\"Repeat\":\"single_shot\""));
        Program.await("read again", () -> program.log.stream().anyMatch(l -> l.contains("configuration read again")));
        get("/collections/holders/items");
        assertEquals(before + 1, broken.count("/") + alsoBroken.count("/"));
    }

    /** Guards against a look-up that runs a single-shot part twice: it asked shards again that had not answered. */
    @Test
    public void looksUpFeatureWithoutRepeatingPartThatMayHaveRun() throws Exception {
        var stuck = new AtomicBoolean(true);
        Function<String, String> good = pages("a", 2);
        Function<String, String> firstHangs = t -> stuck.compareAndSet(true, false) ? null : good.apply(t);
        var one = server(firstHangs);
        var other = server(firstHangs);
        var second = server(pages("b", 2));
        start(inventoryOf(one, "cell: 0", other, "cell: 0", second, "cell: 1"));
        program.reload(0, Files.readString(program.file).replace("\"Repeat\":\"free\"", "\"Repeat\":\"single_shot\""));
        Program.await("read again", () -> program.log.stream().anyMatch(l -> l.contains("configuration read again")));
        assertEquals("shard 0 may have the feature", 504, get("/collections/quotes/items/c-1").status);
        assertEquals("half of the parts is enough for the class, but each part is sent once", 1,
                one.count("/") + other.count("/"));
        stuck.set(true);
        long sent = System.nanoTime();
        assertEquals("another shard has it", 200, get("/collections/quotes/items/b1-1").status);
        assertTrue("at once", System.nanoTime() - sent < TimeUnit.MILLISECONDS.toNanos(1000));
        assertEquals(404, get("/collections/quotes/items/c-1").status);
    }

    @Test
    public void answersThroughAnotherServerWhenOneNeverReplies() throws Exception {
        var stuck = new AtomicBoolean();
        Function<String, String> good = pages("a", 2);
        Function<String, String> firstHangs = t -> stuck.compareAndSet(false, true) ? null : good.apply(t);
        var one = server(firstHangs);
        var other = server(firstHangs);
        start(inventoryOf(one, "cell: 0", other, "cell: 0", server(pages("b", 0)), "cell: 1"));
        var page = get("/collections/holders/items");
        assertEquals(page.body, 200, page.status);
        assertEquals(List.of("a0-0", "a0-1"), ids(page.body));
        assertEquals(1, one.count("/"));
        assertEquals(1, other.count("/"));
        Program.await("the connection to the silent server is closed",
                () -> one.count("closed") + other.count("closed") > 0);
    }

    @Test
    public void answersAtTheDeadlineWhenNoServerReplies() throws Exception {
        var stuck = server(t -> null);
        start(inventoryOf(stuck, "cell: 0"));
        long sent = System.nanoTime();
        assertEquals(504, get("/collections/holds/items").status);
        assertTrue(System.nanoTime() - sent < TimeUnit.MILLISECONDS.toNanos(2070));
        assertEquals("the class does not allow repeats", 1, stuck.count("/"));
        Program.await("the connection to the silent server is closed", () -> stuck.count("closed") == 1);
        var refused = get("/collections/branches/items"); // no server holds shard 1, so no part is started in vain
        assertTrue("" + refused.status, refused.status == 503 || refused.status == 502 || refused.status == 504);
        assertTrue(refused.header("Retry-After"), Integer.parseInt(refused.header("Retry-After")) > 0);
    }

    @Test
    public void closesServerConnectionsWhenTheClientDisconnects() throws Exception {
        var stuck = server(t -> null);
        start(inventoryOf(stuck, "cell: 0"));
        try (var client = new Client(port)) {
            client.send("GET /collections/holds/items HTTP/1.1\r\nHost: h\r\n\r\n");
            Program.await("the part is sent", () -> stuck.count("/") == 1);
        }
        long left = System.nanoTime();
        Program.await("the connection to the server is closed", () -> stuck.count("closed") == 1);
        assertTrue("before the deadline", System.nanoTime() - left < TimeUnit.MILLISECONDS.toNanos(1500));
    }

    @Test
    public void drainsServerByInventoryAndNamesInvalidRows() throws Exception {
        var slow = new AtomicBoolean();
        var busyServer = new AtomicReference<String>();
        var one = server(t -> work(slow, busyServer, "fs1", t));
        var other = server(t -> work(slow, busyServer, "fs2", t));
        String header = "host,address,zone,cell,state\n";
        String rows = "fs1,127.0.0.1:" + one.port() + ",east,0,serving\nfs2,127.0.0.1:" + other.port()
                + ",west,0,serving\n";
        start("hosts.csv", header + rows);
        assertEquals(200, get("/collections/holds/items").status);
        Files.writeString(inventory, header + rows + "fs3,127.0.0.1:1,east,zero,serving\n");
        Program.await("the invalid row is logged", () -> List.copyOf(program.log).stream()
                .anyMatch(l -> l.contains("hosts.csv") && l.contains("fs3") && l.contains("cell")));
        assertEquals("the last valid inventory stays in force", 200, get("/collections/holds/items").status);
        // a server that starts to drain during a part finishes that part and gets no new ones
        slow.set(true);
        var busyClient = new Client(port).send("GET /collections/holds/items HTTP/1.1\r\nHost: h\r\n\r\n");
        Program.await("a part is running", () -> busyServer.get() != null);
        Files.writeString(inventory, header + rows.replaceFirst(busyServer.get() + "(.*)serving", busyServer.get()
                + "$1draining"));
        Thread.sleep(700); // by now the program has read the inventory
        slow.set(false);
        assertEquals(List.of("a0-0"), ids(busyClient.answer().body));
        busyClient.close();
        Thread.sleep(1300);
        StandIn drained = busyServer.get().equals("fs1") ? one : other;
        long before = drained.count("/");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, get("/collections/holds/items").status);
        }
        assertEquals(before, drained.count("/"));
        assertFalse(one.seen.isEmpty() && other.seen.isEmpty());
    }

    private static String work(AtomicBoolean slow, AtomicReference<String> busyServer, String name, String target) {
        for (int i = 0; slow.get() && i < 1000; i++) {
            busyServer.set(name);
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return pages("a", 1).apply(target);
    }

    @Test
    public void requestsSmallerPagesWhenAPageExceedsTheBodyLimit() throws Exception {
        String filler = "x".repeat(9000);
        var big = server(t -> {
            int from = number(t, "offset");
            var page = new ArrayList<String>();
            for (int i = from; i < Math.min(20, from + number(t, "limit")); i++) {
                page.add(feature("a0-" + i).replace("\"free\":3", "\"free\":\"" + filler + "\""));
            }
            String next = from + number(t, "limit") >= 20 ? "" : "{\"rel\":\"next\",\"href\":\""
                    + t.replaceAll("offset=\\d+", "offset=" + (from + number(t, "limit"))) + "\"}";
            return "{\"type\":\"FeatureCollection\",\"links\":[" + next + "],\"features\":["
                    + String.join(",", page) + "]}";
        });
        start(inventoryOf(big, "cell: 0", server(pages("b", 0)), "cell: 1"));
        var seen = new ArrayList<String>();
        for (String target = "/collections/holders/items?limit=40"; target != null;) {
            var page = get(target);
            assertEquals(page.body, 200, page.status);
            assertTrue("the limit of a body applies also to the front's own answers", page.body.length() <= 64 * 1024);
            seen.addAll(ids(page.body));
            target = next(page.body);
        }
        assertEquals(20, seen.size());
        assertEquals(20, seen.stream().distinct().count());
    }

    @Test
    public void acceptsBodiesThatEndWithTheConnection() throws Exception {
        String page = "{\"type\":\"FeatureCollection\",\"features\":[" + feature("a0-0").replace("3}", "3,\"x\":\""
                + "x".repeat(30_000) + "\"}") + "]}"; // many times the size of one read
        start(inventoryOf(server(t -> "!" + page), "cell: 0"));
        for (int i = 0; i < 3; i++) {
            var answer = get("/collections/holds/items");
            assertEquals(answer.body, 200, answer.status);
            assertEquals(List.of("a0-0"), ids(answer.body));
        }
    }

    @Test
    public void namesLineAndKeyOfInvalidSettings() throws Exception {
        Path config = folder.newFile("bad.yaml").toPath();
        Files.writeString(config, """
                ogc:
                  listen: 127.0.0.1:1
                  inventory: none.yaml
                  colections: {x: {class: nobody, shards: [0]}}
                  collections: {x: {class: nobody, shards: [0]}}
                """);
        Process process = Program.launch("{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                + Program.SETTINGS + "}", config);
        assertTrue(process.waitFor(15, TimeUnit.SECONDS));
        String errors = new String(process.getErrorStream().readAllBytes(), UTF_8);
        assertEquals(errors, 2, process.exitValue());
        assertTrue(errors, errors.contains("line 4: ogc.colections: is unknown; did you mean collections?"));
        assertTrue("all faults are reported at once: " + errors,
                errors.contains("line 5: ogc.collections.x.class: is not in the settings"));
    }
}
