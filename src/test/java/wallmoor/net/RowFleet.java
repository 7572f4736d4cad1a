package wallmoor.net;

import static java.nio.file.StandardOpenOption.APPEND;
import static java.nio.file.StandardOpenOption.CREATE;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wallmoor.standin.Ports;
import wallmoor.standin.RowServer;

/** Feature servers with rows, shard {@code i} at server {@code fs{i}}, as processes, and gatherers in front of them. */
final class RowFleet {
    final Path folder;
    final int sites;
    final int perProcess;
    final long lifetimeMillis;
    final int[] ports;
    final Process[] processes;
    /** The rows whose write was confirmed, split at commas, by row id. */
    final Map<String, String[]> confirmed = new ConcurrentHashMap<>();
    final List<AutoCloseable> resources = new ArrayList<>();

    RowFleet(Path folder, int sites, int perProcess, long lifetimeMillis, List<String> rows) throws Exception {
        this.folder = folder;
        this.sites = sites;
        this.perProcess = perProcess;
        this.lifetimeMillis = lifetimeMillis;
        ports = new int[sites];
        processes = new Process[sites / perProcess];
        for (int i = 0; i < sites; i++) {
            ports[i] = Ports.free();
        }
        for (String r : rows) { // SITE,ROW
            String line = r.substring(r.indexOf(',') + 1);
            Files.writeString(folder.resolve("fs" + r.split(",")[0] + ".csv"), line + "\n", CREATE, APPEND);
            confirmed.put(line.split(",")[0], line.split(","));
        }
        for (int p = 0; p < processes.length; p++) {
            launch(p, 1, true);
        }
    }

    /**
     * Starts a process with its sites.
     *
     * @param p     the index of the process
     * @param epoch how often it has been started, this start included
     * @param first whether this is the first start, so that no earlier promise can be outstanding
     */
    void launch(int p, int epoch, boolean first) throws Exception {
        var command = new ArrayList<>(Program.command().subList(0, 6));
        command.addAll(List.of("wallmoor.standin.RowServer", folder.toString(), "" + epoch, "" + first,
                "" + lifetimeMillis));
        for (int i = p * perProcess; i < (p + 1) * perProcess; i++) {
            command.add("fs" + i + ":" + ports[i] + ":rows-" + i);
        }
        processes[p] = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        processes[p].getInputStream().read(); // the process is ready once it has written a byte
    }

    /** A gatherer with the port of its front and its operators' file. */
    record Front(Program program, int port, Path operator) {}

    /**
     * Starts a gatherer.
     *
     * @param summaries the lines of the section {@code summaries}, or empty to query all sites
     */
    Front gatherer(String queryClass, String summaries) throws Exception {
        int port = Ports.free();
        Path operator = folder.resolve("operator" + port + ".yaml");
        Files.writeString(operator, ogc(queryClass, port) + summaries);
        var discovery = new StandIn.Discovery();
        resources.add(discovery);
        var program = new Program(discovery.port(), "", operator);
        resources.add(program);
        return new Front(program, port, operator);
    }

    /**
     * Writes the inventory to the folder and returns the section {@code ogc} of an operators' file there, with a front
     * on this port.
     */
    String ogc(String queryClass, int port) throws IOException {
        var inventory = new StringBuilder("host,address,zone,cell,state\n");
        var shards = new ArrayList<String>();
        for (int i = 0; i < sites; i++) {
            inventory.append("fs").append(i).append(",127.0.0.1:").append(ports[i]).append(",east,").append(i)
                    .append(",serving\n");
            shards.add("" + i);
        }
        Files.writeString(folder.resolve("hosts.csv"), inventory);
        return "ogc:\n  listen: 127.0.0.1:" + port + "\n  inventory: hosts.csv\n  shards: " + sites
                + "\n  cells: " + sites + "\n  reach: 1\n  collections:\n    rows: {class: " + queryClass
                + ", shards: [" + String.join(",", shards) + "], properties: [city, price]}\n";
    }

    /** Returns the section {@code summaries} with all sites. */
    String section(String checks) {
        var names = new ArrayList<String>();
        for (int i = 0; i < sites; i++) {
            names.add("fs" + i);
        }
        return "summaries:\n  sites: [" + String.join(",", names) + "]\n  lifetime: " + lifetimeMillis
                + "ms\n  poll: 20ms\n  checks: " + checks + "\n";
    }

    Client.Answer post(int site, String target, String body) throws IOException {
        try (var client = new Client(ports[site])) {
            return client.send("POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).answer();
        }
    }

    /** Writes a row and returns once the site has confirmed it. */
    void write(int site, String row) throws IOException {
        post(site, "/write", row);
        confirmed.put(row.split(",")[0], row.split(","));
    }

    /** Returns how many parts all sites have received. */
    long parts() throws IOException {
        long all = 0;
        for (int i = 0; i < sites; i++) {
            all += Long.parseLong(post(i, "/parts", "").body);
        }
        return all;
    }

    /** Returns the ids of the rows confirmed so far that match a query. */
    Set<String> expected(Map<String, String> query) {
        var ids = new TreeSet<String>();
        new HashMap<>(confirmed).forEach((id, row) -> {
            if (RowServer.matches(query, row)) {
                ids.add(id);
            }
        });
        return ids;
    }

    static String target(Map<String, String> query, int limit) {
        var target = new StringBuilder("/collections/rows/items?limit=" + limit);
        query.forEach((k, v) -> target.append('&').append(k).append('=')
                .append(URLEncoder.encode(v, StandardCharsets.UTF_8)));
        return target.toString();
    }

    /** Returns the ids of all features in a response body. */
    static Set<String> ids(String body) {
        var ids = new TreeSet<String>();
        for (Matcher m = Pattern.compile("\"Feature\",\"id\":\"([^\"]+)\"").matcher(body); m.find();) {
            ids.add(m.group(1));
        }
        return ids;
    }

    /** Stops all processes. */
    void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly().onExit().join();
            }
        }
    }
}
