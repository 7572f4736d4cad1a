import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Case 10: the inventory's file is rewritten while queries run: it has one more group, whose state is draining, with one
 * feature server.
 */
public final class GroupDrain {
    /** "A change takes effect within 2 s", and new work may come for 2 s after that; 50 ms of slack. */
    private static final long LIMIT_MILLIS = 2_000 + 2_000 + 50;
    private static final String DRAINED = "fs1";

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
        Files.writeString(config, Nodes.config("g1", port, nodes.discoveryPort, 0, Nodes.classes("free"),
                Nodes.DOMAIN, 192));
        Path inventory = site.folder.resolve("inventory.yaml");
        Files.writeString(inventory, servers.inventory(""));
        Path operator = site.folder.resolve("operator.yaml");
        Files.writeString(operator, "ogc:\n  listen: 127.0.0.1:" + ogc + "\n  title: branches\n"
                + "  inventory: inventory.yaml\n  collections:\n    branches:\n      title: Branches\n"
                + "      class: full-search\n      shards: [0, 1, 2]\n      source: branches-{shard}\n");
        site.freePorts();
        site.gatherer("g1", config, operator);
        site.awaitReady(port);
        ask(site, ogc, 3_000);
        long told = site.millis();
        if (Site.TROUBLE) {
            Path next = site.folder.resolve("inventory.next");
            Files.writeString(next, servers.inventory("    maintenance:\n      vars: {state: draining}\n"
                    + "      hosts:\n        " + DRAINED + ": {}\n"));
            Files.move(next, inventory, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            site.note("the file has one more group, with state: draining and host " + DRAINED + ":\n"
                    + Files.readString(inventory));
        }
        ask(site, ogc, 12_000);
        long after = servers.lastAskedAt.getOrDefault(DRAINED, 0L) - told;
        site.note(DRAINED + " got its last new request " + after + " ms after the file was replaced");
        return Site.TROUBLE && after > LIMIT_MILLIS ? 1 : 0;
    }

    private static void ask(Site site, int ogc, long millis) throws Exception {
        for (long end = site.millis() + millis; site.millis() < end;) {
            try {
                Site.Reply r = Site.Reply.of(ogc, "GET", "/collections/branches/items?limit=6", "", null, 4000);
                site.note("client: a page is answered " + r.status);
            } catch (IOException e) {
                site.note("client: " + e);
            }
            Thread.sleep(100);
        }
    }
}
