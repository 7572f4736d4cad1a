import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Case 6: bad clients send hundreds of requests at once, once, each with a body within the limit of 64 KiB that names
 * many shards without a number. Ten usual clients go on all the time.
 */
public final class BodyBurst {
    private static final int BURST = 200;
    private static final int BODY_BYTES = 65_300;
    private static final int BEFORE_MILLIS = 4_000;
    private static final int AFTER_MILLIS = 20_000;

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
        int admin = site.port();
        Path config = site.folder.resolve("config.json");
        Files.writeString(config, Nodes.config("g1", port, nodes.discoveryPort, admin, Nodes.classes("free"),
                Nodes.DOMAIN, 192));
        site.freePorts();
        Process gatherer = site.gatherer("g1", config, null);
        site.awaitReady(port);
        Thread.sleep(1000);
        var usual = new UsualClients(site, port, nodes, true);
        Thread.sleep(BEFORE_MILLIS);
        var bad = new ConcurrentSkipListMap<String, Integer>();
        usual.troubled = true;
        if (Site.TROUBLE) {
            sendBurst(site, port, bad);
        } else {
            site.note("no burst");
        }
        Thread.sleep(AFTER_MILLIS);
        usual.end();
        site.note("bad clients: " + bad);
        site.note("parts that ran at the nodes: " + nodes.runs.size());
        try {
            site.note("operators' address: " + Site.Reply.of(admin, "GET", "/_ready", "", null, 2000).status);
        } catch (IOException e) {
            site.note("operators' address: " + e);
        }
        site.note("process " + (gatherer.isAlive() ? "runs" : "has ended"));
        if (usual.lostBefore.sum() > 0) {
            throw new Site.CannotRun("requests were lost before the burst");
        }
        return usual.lost.sum() > 0 || !gatherer.isAlive() ? 1 : 0;
    }

    private static void sendBurst(Site site, int port, ConcurrentSkipListMap<String, Integer> bad) {
        String unit = "{},";
        String body = "{\"q\":\"x\",\"shards\":[" + unit.repeat((BODY_BYTES - 30) / unit.length()) + "{}]}";
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        site.note("bad clients send " + BURST + " requests at once, once, each with a body of " + bytes.length
                + " bytes: " + body.substring(0, 40) + "...");
        for (int i = 0; i < BURST; i++) {
            int n = i;
            var t = new Thread(() -> {
                String result;
                try {
                    result = "status " + Site.Reply.of(port, "POST", "/api", "X-Request-Id: bad" + n
                            + "\r\nX-Class: full-search\r\nX-Deadline: 2400m\r\n", bytes, 10_000).status;
                } catch (IOException e) {
                    result = e.toString();
                }
                bad.merge(result, 1, Integer::sum);
            });
            t.setDaemon(true);
            t.start();
        }
    }
}
