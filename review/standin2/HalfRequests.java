import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Case 8: bad clients ask for a shard that does not exist, are answered, then send half of another request on the same
 * connection, stop there and stay; the same again as soon as they are turned away. Ten usual clients go on all the time,
 * each request on a new connection.
 */
public final class HalfRequests {
    private static final int BAD_CLIENTS = 200;
    private static final int BEFORE_MILLIS = 3_000;
    private static final int TROUBLE_MILLIS = 9_000;
    private static final int AFTER_MILLIS = 7_000;

    public static void main(String[] args) throws Exception {
        int code;
        try (var site = new Site()) {
            code = run(site);
        } catch (Site.CannotRun e) {
            System.out.println(e.getMessage());
            code = 2;
        }
        System.exit(code);
    }

    private static int run(Site site) throws Exception {
        var nodes = new Nodes(6, 3, 60);
        int port = site.port();
        Path config = site.folder.resolve("config.json");
        Files.writeString(config, Nodes.config("g1", port, nodes.discoveryPort, 0, Nodes.classes("free"),
                Nodes.DOMAIN, 128));
        site.freePorts();
        Process gatherer = site.gatherer("g1", config, null);
        site.awaitReady(port);
        Thread.sleep(1000);
        var usual = new UsualClients(site, port, nodes, false);
        Thread.sleep(BEFORE_MILLIS);
        usual.troubled = true;
        var bad = new ConcurrentSkipListMap<String, Integer>();
        if (Site.TROUBLE) {
            site.note(BAD_CLIENTS + " bad clients begin");
            long stop = site.millis() + TROUBLE_MILLIS;
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                var t = new Thread(() -> badClient(site, port, number, stop, bad));
                t.setDaemon(true);
                t.start();
            }
        }
        Thread.sleep(TROUBLE_MILLIS + AFTER_MILLIS);
        usual.end();
        site.note("bad clients, first and second request: " + bad);
        site.note("process " + (gatherer.isAlive() ? "runs" : "has ended"));
        if (usual.lostBefore.sum() > 0) {
            throw new Site.CannotRun("requests were lost before the disruption");
        }
        return usual.lost.sum() > 0 || !gatherer.isAlive() ? 1 : 0;
    }

    private static void badClient(Site site, int port, int number, long stop,
            ConcurrentSkipListMap<String, Integer> results) {
        byte[] body = "{\"shards\":[{\"shard\":99,\"weight\":1}],\"q\":\"x\"}".getBytes(StandardCharsets.US_ASCII);
        for (int k = 0; site.millis() < stop; k++) {
            String result = "none";
            long sent = site.millis();
            try (var socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
                Site.Reply.send(socket, "POST", "/api", "X-Request-Id: bad" + number + "-" + k
                        + "\r\nX-Class: full-search\r\nX-Deadline: 900m\r\n", body);
                result = "status " + Site.Reply.read(socket, 10_000).status;
                sent = site.millis();
                socket.getOutputStream().write("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Requ"
                        .getBytes(StandardCharsets.US_ASCII));
                result += ", status " + Site.Reply.read(socket, 10_000).status;
            } catch (IOException e) {
                result += ", " + e.getClass().getSimpleName();
            }
            results.merge(result + " after " + (site.millis() - sent) / 1000 + " s", 1, Integer::sum);
        }
    }
}
