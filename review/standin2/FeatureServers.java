import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Feature servers: cell c holds the upstream collections branches-s with s mod cells = c, two servers for each cell.
 * Each answers GET items/ID after a short time, and records each request that it has read.
 */
final class FeatureServers {
    final List<Integer> ports = new ArrayList<>();
    final int cells;
    /** The requests that a server has read, by target: the names of the servers. */
    final ConcurrentHashMap<String, List<String>> ran = new ConcurrentHashMap<>();
    /** Whether the server that is asked next takes requests from then on and answers none. */
    volatile boolean firstHangs;
    private final Set<String> hanging = ConcurrentHashMap.newKeySet();
    /** When each server was last asked, in milliseconds of the case. */
    final ConcurrentHashMap<String, Long> lastAskedAt = new ConcurrentHashMap<>();
    private final Site site;

    FeatureServers(Site site, int cells) throws IOException {
        this.site = site;
        this.cells = cells;
        for (int i = 0; i < 2 * cells; i++) {
            String name = "fs" + i;
            var server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            ports.add(server.getLocalPort());
            daemon(() -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(() -> {
                            try (socket) {
                                while (true) {
                                    serve(socket, name);
                                }
                            } catch (Exception e) {
                                // the gatherer has closed the connection
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }
    }

    private static void daemon(Runnable r) {
        var t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket socket, String name) throws Exception {
        String target = Nodes.head(socket).split(" ")[1];
        if (firstHangs) {
            synchronized (hanging) {
                if (hanging.isEmpty()) {
                    hanging.add(name);
                }
            }
        }
        ran.computeIfAbsent(target, k -> java.util.Collections.synchronizedList(new ArrayList<>())).add(name);
        lastAskedAt.put(name, site.millis());
        site.note(name + " runs GET " + target + (hanging.contains(name) ? " and does not answer" : ""));
        if (hanging.contains(name)) {
            Thread.sleep(60_000);
        }
        Thread.sleep(60);
        if (!target.contains("/items/")) {
            answer(socket, "200 OK", "{\"type\":\"FeatureCollection\",\"links\":[],\"features\":["
                    + feature(target.split("/")[2] + "-1") + "]}");
            return;
        }
        String id = target.substring(target.lastIndexOf('/') + 1);
        String upstream = target.split("/")[2];
        boolean exists = id.startsWith(upstream + "-");
        answer(socket, exists ? "200 OK" : "404 Not Found", exists ? feature(id) : "{}");
    }

    private static String feature(String id) {
        return "{\"type\":\"Feature\",\"id\":\"" + id + "\",\"geometry\":{\"type\":\"Point\","
                + "\"coordinates\":[67.0,24.8]},\"properties\":{\"free\":2}}";
    }

    private static void answer(Socket socket, String status, String body) throws IOException {
        Nodes.write(socket, "HTTP/1.1 " + status + "\r\nContent-Type: application/geo+json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    /**
     * The inventory in YAML, in the form of the project's example: a group above with the state, and a group for each
     * data centre.
     *
     * @param moreGroups further child groups
     */
    String inventory(String moreGroups) {
        var text = new StringBuilder("feature_servers:\n  vars:\n    ansible_host: 127.0.0.1\n    state: serving\n"
                + "  children:\n");
        for (int i = 0; i < ports.size(); i++) {
            if (i % cells == 0) {
                String zone = i < cells ? "clifton" : "korangi";
                text.append("    ").append(zone).append(":\n      vars: {zone: khi-").append(zone)
                        .append("}\n      hosts:\n");
            }
            text.append("        fs").append(i).append(": {port: ").append(ports.get(i)).append(", cell: ")
                    .append(i % cells).append("}\n");
        }
        return text + moreGroups;
    }
}
