package wallmoor.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import wallmoor.summaries.Row;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;
import wallmoor.summaries.SummaryBuilder;
import wallmoor.summaries.SummaryLimits;
import wallmoor.summaries.SummaryMaintainer;
import wallmoor.summaries.TimeSpan;

/**
 * A process of feature servers that hold rows and grant leases on summaries of them. Its arguments are the directory of
 * the rows, the epoch, whether that is the first epoch, the lifetime of a lease in milliseconds, and
 * {@code SITE:PORT:BLOCK} for each server. A row is a line {@code id,city,price,lon,lat,day}; it is stored and returned
 * by queries once its write is confirmed.
 */
public final class RowServer {
    private static final SummaryLimits LIMITS = SummaryLimits.defaults();

    private final Site site;
    private final Path file;
    private final long epoch;
    private final SummaryMaintainer maintainer;
    private final Map<String, String[]> rows = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Void>> unconfirmedWrites = new HashMap<>();
    private final Map<String, ArrayDeque<SiteMessage.Widening>> widenings = new HashMap<>();
    private final AtomicLong partCount = new AtomicLong();
    private volatile String mode = "";

    private RowServer(Site site, Path directory, long epoch, boolean isFirst, long lifetimeMillis) throws IOException {
        this.site = site;
        this.epoch = epoch;
        file = directory.resolve(site.name() + ".csv");
        var builder = new SummaryBuilder(LIMITS, site.name(), site.block(), epoch);
        for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
            rows.put(line.split(",")[0], line.split(","));
            builder.add(row(line.split(",")));
        }
        maintainer = new SummaryMaintainer(LIMITS, site, epoch, builder, nowMicros(), lifetimeMillis * 1000, isFirst);
    }

    private static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Converts the fields of a line to a row of a summary. */
    public static Row row(String[] fields) {
        return new Row(Map.of("city", fields[1], "price", Long.valueOf(fields[2])),
                Row.Coordinates.of(Double.parseDouble(fields[3]), Double.parseDouble(fields[4])),
                TimeSpan.parse(fields[5]));
    }

    /** Returns whether a row matches a query's parameters: the reference for answers. */
    public static boolean matches(Map<String, String> parameters, String[] fields) {
        double lon = Double.parseDouble(fields[3]);
        double lat = Double.parseDouble(fields[4]);
        String[] box = parameters.getOrDefault("bbox", "-180,-90,180,90").split(",");
        String[] time = parameters.getOrDefault("datetime", "../..").split("/");
        return (!parameters.containsKey("city") || parameters.get("city").equals(fields[1]))
                && (!parameters.containsKey("price") || parameters.get("price").equals(fields[2]))
                && lon >= Double.parseDouble(box[0]) && lat >= Double.parseDouble(box[1])
                && lon <= Double.parseDouble(box[2]) && lat <= Double.parseDouble(box[3])
                && (time[0].equals("..") || fields[5].compareTo(time[0]) >= 0)
                && (time[time.length - 1].equals("..") || fields[5].compareTo(time[time.length - 1]) <= 0);
    }

    private static Map<String, String> parameters(HttpExchange exchange) {
        var parameters = new HashMap<String, String>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            parameters.put(pair.split("=", 2)[0],
                    URLDecoder.decode(pair.split("=", 2)[1], StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> parameters = parameters(exchange);
        byte[] answer;
        int status = 200;
        switch (exchange.getRequestURI().getPath()) {
            case "/summaries/promise" -> answer = grantLease(exchange, parameters);
            case "/summaries/news" ->
                answer = exchangeWidenings(parameters.get("gatherer"), new String(body, StandardCharsets.UTF_8));
            case "/write" -> {
                write(new String(body, StandardCharsets.UTF_8), parameters.containsKey("past"));
                answer = new byte[0];
            }
            case "/mode" -> {
                mode = parameters.get("is");
                answer = new byte[0];
            }
            case "/parts" -> answer = ("" + partCount.get()).getBytes(UTF_8);
            default -> {
                boolean isOwnBlock = exchange.getRequestURI().getPath()
                        .equals("/collections/" + site.block() + "/items");
                status = isOwnBlock ? 200 : 404;
                answer = items(exchange, parameters).getBytes(StandardCharsets.UTF_8);
            }
        }
        exchange.sendResponseHeaders(status, answer.length == 0 ? -1 : answer.length);
        if (answer.length > 0) {
            exchange.getResponseBody().write(answer);
        }
        exchange.close();
    }

    /** Grants a lease on the summary, which the mode may damage. */
    private synchronized byte[] grantLease(HttpExchange exchange, Map<String, String> parameters) {
        SiteMessage.SummaryLeaseGrant grant = maintainer.grantLease(nowMicros(), parameters.get("gatherer"),
                Long.parseLong(parameters.get("ticket")));
        exchange.getResponseHeaders().set("Wallmoor-Ticket", "" + grant.ticket());
        exchange.getResponseHeaders().set("Wallmoor-Lifetime-Ms", "" + grant.lifetime() / 1000);
        byte[] bytes = grant.summary().clone();
        switch (mode) {
            case "torn" -> bytes[bytes.length / 2] ^= 4;
            case "short" -> bytes = java.util.Arrays.copyOf(bytes, bytes.length - 3);
            case "huge" -> bytes = new byte[200_000];
            case "kind" -> { // complete, but of a newer format
                bytes[5]++;
                var crc = new java.util.zip.CRC32C();
                crc.update(bytes, 0, bytes.length - 4);
                java.nio.ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
            }
            default -> {}
        }
        return bytes;
    }

    /** Takes a gatherer's acknowledged versions and returns the widenings that it has not acknowledged. */
    private synchronized byte[] exchangeWidenings(String gatherer, String json) {
        ArrayDeque<SiteMessage.Widening> pending = widenings.computeIfAbsent(gatherer, g -> new ArrayDeque<>());
        for (var m = java.util.regex.Pattern.compile("\"epoch\":(\\d+),\"version\":(\\d+)").matcher(json); m.find();) {
            long version = Long.parseLong(m.group(2));
            if (Long.parseLong(m.group(1)) == epoch) { // versions of other epochs do not count
                confirm(maintainer.acknowledged(nowMicros(), gatherer, version));
                pending.removeIf(w -> w.to() <= version);
            }
        }
        var list = new ArrayList<String>();
        pending.forEach(w -> list.add("{\"block\":\"" + w.site().block() + "\",\"epoch\":" + w.epoch() + ",\"from\":"
                + w.from()
                + ",\"to\":" + w.to() + (w.rows() == null ? "" : ",\"rows\":\"" + Base64.getEncoder()
                        .encodeToString(w.rows()) + "\"")
                + "}"));
        return ("{\"widenings\":[" + String.join(",", list) + "]}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized void confirm(List<Long> ids) {
        ids.forEach(id -> unconfirmedWrites.remove(id).complete(null));
    }

    /** Writes a row and waits until it is confirmed, or stores it without the maintainer's knowledge. */
    private void write(String line, boolean bypassesMaintainer) throws IOException {
        String[] row = line.split(",");
        if (!bypassesMaintainer) {
            var confirmed = new CompletableFuture<Void>();
            synchronized (this) {
                SummaryMaintainer.WriteDecision decision = maintainer.write(nowMicros(), List.of(row(row)));
                if (decision.confirm()) {
                    confirmed.complete(null);
                } else {
                    unconfirmedWrites.put(decision.id(), confirmed);
                    decision.gatherersToNotify().forEach(
                            g -> widenings.computeIfAbsent(g, x -> new ArrayDeque<>()).add(decision.widening()));
                }
            }
            confirmed.join();
        }
        Files.writeString(file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        rows.put(row[0], row);
    }

    private String items(HttpExchange exchange, Map<String, String> parameters) {
        partCount.addAndGet(parameters.getOrDefault("offset", "0").equals("0") ? 1 : 0); // counts first pages only
        synchronized (this) {
            exchange.getResponseHeaders().set("Wallmoor-Data", epoch + "." + maintainer.currentSummary().version());
        }
        int offset = Integer.parseInt(parameters.getOrDefault("offset", "0"));
        int limit = Integer.parseInt(parameters.getOrDefault("limit", "10"));
        List<String[]> matching = rows.values().stream().filter(r -> matches(parameters, r))
                .sorted((a, b) -> a[0].compareTo(b[0])).toList();
        var features = matching.stream().skip(offset).limit(limit).map(r -> "{\"type\":\"Feature\",\"id\":\"" + r[0]
                + "\",\"geometry\":{\"type\":\"Point\",\"coordinates\":[" + r[3] + "," + r[4] + "]},"
                + "\"properties\":{}}").toList();
        String next = offset + limit >= matching.size() ? ""
                : "{\"rel\":\"next\",\"href\":\"" + exchange.getRequestURI().toString()
                        .replaceAll("offset=\\d+", "offset=" + (offset + limit)) + "\"}";
        return "{\"type\":\"FeatureCollection\",\"links\":[" + next + "],\"features\":["
                + String.join(",", features) + "]}";
    }

    /** Runs the maintainer's timers until the thread is interrupted. */
    private void runTimers() {
        while (true) {
            synchronized (this) {
                confirm(maintainer.tick(nowMicros()));
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Prints a line once all servers run, and serves until the standard input ends. */
    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        var threads = Executors.newCachedThreadPool();
        for (int i = 4; i < args.length; i++) {
            String[] fields = args[i].split(":");
            var server = new RowServer(new Site(fields[0], fields[2]), Path.of(args[0]), Long.parseLong(args[1]),
                    Boolean.parseBoolean(args[2]), Long.parseLong(args[3]));
            HttpServer http = HttpServer.create(new InetSocketAddress("127.0.0.1", Integer.parseInt(fields[1])), 50);
            http.setExecutor(threads);
            http.createContext("/", exchange -> {
                try {
                    server.handle(exchange);
                } catch (RuntimeException e) {
                    e.printStackTrace();
                    throw e;
                }
            });
            http.start();
            threads.execute(server::runTimers);
        }
        System.out.println("serving");
        System.in.read(); // ends when the parent process has exited
        System.exit(0);
    }
}
