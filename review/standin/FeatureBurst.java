import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gatherer with both fronts. A client of the front for features sends 40 requests at once, one time. The usual
 * clients of the platform's front must each get a final answer.
 */
final class FeatureBurst {
    private static final int BURST = 40;
    private static final int PLATFORM_CLIENTS = 10;
    private static final int FEATURE_CLIENTS = 2;
    private static final int USUAL_MILLIS = 5_000;
    private static final int OBSERVED_MILLIS = 20_000;
    /** The time that a platform client waits: 60 % of the give-up time of class full-search. */
    private static final int DEADLINE_MILLIS = 2_400;
    /** Up to half a second after its time an answer only earns nothing; later, or never, the request is lost. */
    private static final int TOLERANCE_MILLIS = 500;
    private static final String PAGE = "GET /collections/free-cars/items?limit=200";

    private final Lab lab;
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger lastId = new AtomicInteger();
    private volatile long burstAt = Long.MAX_VALUE;
    private volatile boolean ended;

    private FeatureBurst(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new FeatureBurst(lab).run());
    }

    private int run() throws Exception {
        var parts = new AtomicInteger();
        var discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            var worker = new Worker("s-" + i, part -> {
                parts.incrementAndGet();
                Thread.sleep(110);
                part.answer("ok", "doc-" + part.id);
            });
            discovery.put("s-" + i, worker.port(), i % 2, i < 2 ? "khi-clifton" : "khi-korangi", "std-2c", "SERVING");
        }
        int port = lab.port();
        int featuresPort = lab.port();
        Path config = lab.write("config.json", Files.readString(lab.root.resolve("example/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:" + port)
                .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.port()));
        lab.write("inventory.yaml", inventory());
        Path operator = lab.write("operator.yaml", "ogc:\n  listen: 127.0.0.1:" + featuresPort + "\n  title: Cars\n"
                + "  inventory: inventory.yaml\n  collections:\n    free-cars:\n      title: Free cars\n"
                + "      class: full-search\n      shards: [0, 1, 2, 3]\n");
        Process gatherer = lab.startGatherer("gatherer", config, operator);
        lab.awaitReady(port);
        lab.awaitListening(featuresPort);
        Thread.sleep(1_000);
        lab.note("an upstream page of 50 features has " + FeatureServer.page("/x?limit=50&offset=0").length()
                + " bytes; a body may have 65536");

        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < PLATFORM_CLIENTS; i++) {
            clients.add(start(() -> askPlatform(port)));
        }
        for (int i = 0; i < FEATURE_CLIENTS; i++) {
            clients.add(start(() -> askFeatures(featuresPort)));
        }
        Thread.sleep(USUAL_MILLIS);
        report(parts);
        if (lab.trouble) {
            burstAt = lab.now();
            lab.note("one client sends " + BURST + " requests for pages at once");
            for (int i = 0; i < BURST; i++) {
                start(() -> askPage(featuresPort, "burst"));
            }
        }
        for (int second = 0; second < OBSERVED_MILLIS / 2_000; second++) {
            Thread.sleep(2_000);
            report(parts);
        }
        ended = true;
        for (Thread client : clients) {
            client.join(15_000);
        }
        report(parts);
        lab.note("the gatherer is " + (gatherer.isAlive() ? "still running" : "gone"));
        for (String line : Files.readAllLines(lab.log("gatherer"))) {
            if (line.contains("OutOfMemoryError")) {
                lab.note("log of gatherer: " + line.replaceAll("^\\S+Z ", ""));
            }
        }
        lab.note("platform requests lost: " + lost + " of " + lastId);
        return lost.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static Thread start(Runnable body) {
        var thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String inventory() throws IOException {
        var yaml = new StringBuilder("feature_servers:\n  vars:\n    ansible_host: 127.0.0.1\n    state: serving\n"
                + "  children:\n");
        for (String zone : List.of("clifton", "korangi")) {
            yaml.append("    ").append(zone).append(":\n      vars: {zone: khi-").append(zone)
                    .append("}\n      hosts:\n");
            for (int cell = 0; cell < 2; cell++) {
                yaml.append("        fs-").append(zone).append(cell).append(": {port: ")
                        .append(new FeatureServer().port()).append(", cell: ").append(cell).append("}\n");
            }
        }
        return yaml.toString();
    }

    /** One usual client of the platform's front: some 4 requests a second, each on a new connection. */
    private void askPlatform(int port) {
        while (!ended) {
            String id = "q" + lastId.incrementAndGet();
            long sentAt = lab.now();
            boolean sent = false;
            String end;
            try (var client = new Http(port)) {
                client.send("POST /api", Map.of("X-Request-Id", id, "X-Class", "full-search", "X-Deadline",
                        DEADLINE_MILLIS + "m"),
                        "{\"shards\":[{\"shard\":0,\"weight\":0.5},{\"shard\":1,\"weight\":0.5}],\"q\":\"lhr\"}");
                sent = true;
                end = "answer " + client.read(DEADLINE_MILLIS + TOLERANCE_MILLIS).status();
            } catch (SocketTimeoutException e) {
                end = sent ? "no answer in time" : "not connected";
            } catch (IOException e) {
                end = sent ? "no answer: " + e.getMessage() : "not connected";
            }
            count("platform " + end);
            if (end.startsWith("no answer")) {
                lost.incrementAndGet();
                lab.note(id + " sent at " + sentAt + (burstAt == Long.MAX_VALUE ? ""
                        : " (" + (sentAt - burstAt) + " ms after the burst)") + ": " + end + " after "
                        + (lab.now() - sentAt) + " ms  <- LOST");
            }
            pause(130);
        }
    }

    /** One usual client of the front for features: a page of at most 200 features now and then. */
    private void askFeatures(int port) {
        while (!ended) {
            askPage(port, "features");
            pause(500);
        }
    }

    private void askPage(int port, String who) {
        String end;
        try (var client = new Http(port)) {
            end = "answer " + client.request(PAGE, Map.of(), "", 9_000).status();
        } catch (IOException e) {
            end = "no answer: " + e.getMessage();
        }
        count(who + " " + end);
    }

    private void count(String what) {
        counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
    }

    private void report(AtomicInteger parts) {
        lab.note("so far: " + new TreeMap<>(counts) + ", parts run by nodes " + parts + ", pages asked of servers "
                + FeatureServer.PAGES);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
