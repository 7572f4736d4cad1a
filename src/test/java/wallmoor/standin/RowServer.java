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
 * A process of feature servers that hold rows and promise summaries of them. Arguments: a folder of rows, this life's
 * number, whether it is the first, a promise's lifetime in ms, and {@code SITE:PORT:BLOCK} for each server. A row is a
 * line {@code id,city,price,lon,lat,day}; it is shown, and kept in the folder, from when it is confirmed.
 */
public final class RowServer {
    private static final SummaryLimits SETTINGS = SummaryLimits.defaults();

    private final Site site;
    private final Path file;
    private final long epoch;
    private final SummaryMaintainer keeper;
    private final Map<String, String[]> rows = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Void>> waiting = new HashMap<>();
    private final Map<String, ArrayDeque<SiteMessage.Widening>> news = new HashMap<>();
    private final AtomicLong parts = new AtomicLong();
    private volatile String mode = "";

    private RowServer(Site site, Path folder, long epoch, boolean first, long lifetime) throws IOException {
        this.site = site;
        this.epoch = epoch;
        file = folder.resolve(site.name() + ".csv");
        var draft = new SummaryBuilder(SETTINGS, site.name(), site.block(), epoch);
        for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
            rows.put(line.split(",")[0], line.split(","));
            draft.add(row(line.split(",")));
        }
        keeper = new SummaryMaintainer(SETTINGS, site, epoch, draft, now(), lifetime * 1000, first);
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** A row as summaries see it. */
    public static Row row(String[] r) {
        return new Row(Map.of("city", r[1], "price", Long.valueOf(r[2])), Row.Coordinates.of(Double.parseDouble(r[3]),
                Double.parseDouble(r[4])), TimeSpan.parse(r[5]));
    }

    /** Whether a query's parameters admit a row: the reading that answers are held against. */
    public static boolean matches(Map<String, String> q, String[] r) {
        double lon = Double.parseDouble(r[3]);
        double lat = Double.parseDouble(r[4]);
        String[] box = q.getOrDefault("bbox", "-180,-90,180,90").split(",");
        String[] time = q.getOrDefault("datetime", "../..").split("/");
        return (!q.containsKey("city") || q.get("city").equals(r[1])) && (!q.containsKey("price") || q.get("price")
                .equals(r[2])) && lon >= Double.parseDouble(box[0]) && lat >= Double.parseDouble(box[1])
                && lon <= Double.parseDouble(box[2]) && lat <= Double.parseDouble(box[3])
                && (time[0].equals("..") || r[5].compareTo(time[0]) >= 0)
                && (time[time.length - 1].equals("..") || r[5].compareTo(time[time.length - 1]) <= 0);
    }

    private static Map<String, String> query(HttpExchange x) {
        var q = new HashMap<String, String>();
        String raw = x.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            q.put(pair.split("=", 2)[0], URLDecoder.decode(pair.split("=", 2)[1], StandardCharsets.UTF_8));
        }
        return q;
    }

    private void handle(HttpExchange x) throws IOException {
        byte[] body = x.getRequestBody().readAllBytes();
        Map<String, String> q = query(x);
        byte[] answer;
        int status = 200;
        switch (x.getRequestURI().getPath()) {
            case "/summaries/promise" -> answer = promise(x, q);
            case "/summaries/news" -> answer = news(q.get("gatherer"), new String(body, StandardCharsets.UTF_8));
            case "/write" -> {
                write(new String(body, StandardCharsets.UTF_8), q.containsKey("past"));
                answer = new byte[0];
            }
            case "/mode" -> {
                mode = q.get("is");
                answer = new byte[0];
            }
            case "/parts" -> answer = ("" + parts.get()).getBytes(UTF_8);
            default -> {
                boolean here = x.getRequestURI().getPath().equals("/collections/" + site.block() + "/items");
                status = here ? 200 : 404;
                answer = items(x, q).getBytes(StandardCharsets.UTF_8);
            }
        }
        x.sendResponseHeaders(status, answer.length == 0 ? -1 : answer.length);
        if (answer.length > 0) {
            x.getResponseBody().write(answer);
        }
        x.close();
    }

    private synchronized byte[] promise(HttpExchange x, Map<String, String> q) {
        SiteMessage.SummaryLeaseGrant p = keeper.grantLease(now(), q.get("gatherer"), Long.parseLong(q.get("ticket")));
        x.getResponseHeaders().set("Wallmoor-Ticket", "" + p.ticket());
        x.getResponseHeaders().set("Wallmoor-Lifetime-Ms", "" + p.lifetime() / 1000);
        byte[] bytes = p.summary().clone();
        switch (mode) {
            case "torn" -> bytes[bytes.length / 2] ^= 4;
            case "short" -> bytes = java.util.Arrays.copyOf(bytes, bytes.length - 3);
            case "huge" -> bytes = new byte[200_000];
            case "kind" -> { // whole, of a later program
                bytes[5]++;
                var crc = new java.util.zip.CRC32C();
                crc.update(bytes, 0, bytes.length - 4);
                java.nio.ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
            }
            default -> {}
        }
        return bytes;
    }

    private synchronized byte[] news(String gatherer, String json) {
        ArrayDeque<SiteMessage.Widening> mine = news.computeIfAbsent(gatherer, g -> new ArrayDeque<>());
        for (var m = java.util.regex.Pattern.compile("\"epoch\":(\\d+),\"version\":(\\d+)").matcher(json); m.find();) {
            long version = Long.parseLong(m.group(2));
            if (Long.parseLong(m.group(1)) == epoch) { // of another life it says nothing about this one
                confirm(keeper.acknowledged(now(), gatherer, version));
                mine.removeIf(w -> w.to() <= version);
            }
        }
        var list = new ArrayList<String>();
        mine.forEach(w -> list.add("{\"block\":\"" + w.site().block() + "\",\"epoch\":" + w.epoch() + ",\"from\":"
                + w.from()
                + ",\"to\":" + w.to() + (w.rows() == null ? "" : ",\"rows\":\"" + Base64.getEncoder()
                        .encodeToString(w.rows()) + "\"")
                + "}"));
        return ("{\"widenings\":[" + String.join(",", list) + "]}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized void confirm(List<Long> ids) {
        ids.forEach(id -> waiting.remove(id).complete(null));
    }

    private void write(String line, boolean past) throws IOException {
        String[] row = line.split(",");
        if (!past) {
            var confirmed = new CompletableFuture<Void>();
            synchronized (this) {
                SummaryMaintainer.WriteDecision w = keeper.write(now(), List.of(row(row)));
                if (w.confirm()) {
                    confirmed.complete(null);
                } else {
                    waiting.put(w.id(), confirmed);
                    w.gatherersToNotify()
                            .forEach(g -> news.computeIfAbsent(g, x -> new ArrayDeque<>()).add(w.widening()));
                }
            }
            confirmed.join();
        }
        Files.writeString(file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        rows.put(row[0], row);
    }

    private String items(HttpExchange x, Map<String, String> q) {
        parts.addAndGet(q.getOrDefault("offset", "0").equals("0") ? 1 : 0); // its later pages are of the same part
        synchronized (this) {
            x.getResponseHeaders().set("Wallmoor-Data", epoch + "." + keeper.currentSummary().version());
        }
        int offset = Integer.parseInt(q.getOrDefault("offset", "0"));
        int limit = Integer.parseInt(q.getOrDefault("limit", "10"));
        List<String[]> all = rows.values().stream().filter(r -> matches(q, r)).sorted((a, b) -> a[0].compareTo(b[0]))
                .toList();
        var features = all.stream().skip(offset).limit(limit).map(r -> "{\"type\":\"Feature\",\"id\":\"" + r[0]
                + "\",\"geometry\":{\"type\":\"Point\",\"coordinates\":[" + r[3] + "," + r[4] + "]},"
                + "\"properties\":{}}").toList();
        String next = offset + limit >= all.size() ? "" : "{\"rel\":\"next\",\"href\":\"" + x.getRequestURI().toString()
                .replaceAll("offset=\\d+", "offset=" + (offset + limit)) + "\"}";
        return "{\"type\":\"FeatureCollection\",\"links\":[" + next + "],\"features\":["
                + String.join(",", features) + "]}";
    }

    private void tick() {
        while (true) {
            synchronized (this) {
                confirm(keeper.tick(now()));
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Serves until it is ended; prints a line when it does. */
    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        var threads = Executors.newCachedThreadPool();
        for (int i = 4; i < args.length; i++) {
            String[] at = args[i].split(":");
            var server = new RowServer(new Site(at[0], at[2]), Path.of(args[0]), Long.parseLong(args[1]),
                    Boolean.parseBoolean(args[2]), Long.parseLong(args[3]));
            HttpServer http = HttpServer.create(new InetSocketAddress("127.0.0.1", Integer.parseInt(at[1])), 50);
            http.setExecutor(threads);
            http.createContext("/", x -> {
                try {
                    server.handle(x);
                } catch (RuntimeException e) {
                    e.printStackTrace();
                    throw e;
                }
            });
            http.start();
            threads.execute(server::tick);
        }
        System.out.println("serving");
        System.in.read(); // whoever started it has gone
        System.exit(0);
    }
}
