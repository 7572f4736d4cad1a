import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Case 9: one feature is asked for at the front for features, in a class whose parts must not run twice, and the feature
 * server that is asked first takes the request and never replies.
 */
public final class FeatureTwice {
    private static final String FEATURE = "depot-1";

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
        var servers = new FeatureServers(site, 3);
        int port = site.port();
        int ogc = site.port();
        Path config = site.folder.resolve("config.json");
        Files.writeString(config, Nodes.config("g1", port, nodes.discoveryPort, 0, Nodes.classes("single_shot"),
                Nodes.DOMAIN, 192));
        Files.writeString(site.folder.resolve("inventory.yaml"), servers.inventory(""));
        Path operator = site.folder.resolve("operator.yaml");
        Files.writeString(operator, "ogc:\n  listen: 127.0.0.1:" + ogc + "\n  title: branches\n"
                + "  inventory: inventory.yaml\n  collections:\n    branches:\n      title: Branches\n"
                + "      class: quick-quote\n      shards: [0, 1, 2]\n      source: branches-{shard}\n");
        site.freePorts();
        site.gatherer("g1", config, operator);
        site.awaitReady(port);
        Thread.sleep(1500);
        servers.firstHangs = Site.TROUBLE;
        try {
            Site.Reply r = Site.Reply.of(ogc, "GET", "/collections/branches/items/" + FEATURE, "", null, 4000);
            site.note("client: GET /collections/branches/items/" + FEATURE + " is answered " + r.status);
        } catch (IOException e) {
            site.note("client: GET /collections/branches/items/" + FEATURE + ": " + e);
        }
        Thread.sleep(500);
        if (servers.ran.isEmpty()) {
            throw new Site.CannotRun("no feature server was asked");
        }
        int twice = 0;
        for (var entry : servers.ran.entrySet()) {
            List<String> by = entry.getValue();
            site.note("GET " + entry.getKey() + " ran at " + by + (by.size() > 1 ? ": MORE THAN ONCE" : ""));
            twice += by.size() > 1 ? 1 : 0;
        }
        site.note("parts that ran more than once: " + twice);
        return twice > 0 ? 1 : 0;
    }
}
