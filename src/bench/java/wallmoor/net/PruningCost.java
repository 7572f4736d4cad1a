package wallmoor.net;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Measures the parts sent and the latency of two gatherers run as real processes: one queries all feature servers, the
 * other leaves out those whose summary promises that they have no matching row. Both get the same queries in random
 * order, with one write for every five queries. Each answer is checked against the rows that were confirmed before the
 * query was sent. Arguments: queries, seed.
 */
public final class PruningCost {
    private static final int SITES = 16;
    private static final String[] KINDS = {"city", "price", "box", "time", "box and price", "none"};

    private static final int WARM_UP_QUERIES = 500;
    private static final Pattern NEXT_LINK = Pattern.compile("\"href\":\"http://localhost([^\"]*)\",\"rel\":\"next\"");
    private static final Pattern QUERIED_SERVERS = Pattern.compile("\"asked\":(\\d+)");

    private PruningCost() {}

    private static String row(Random random, int site, String id) {
        var siteRandom = new Random(site);
        double lon = siteRandom.nextInt(300) - 150 + random.nextDouble();
        double lat = siteRandom.nextInt(120) - 60 + random.nextDouble();
        int rowSite = random.nextInt(20) == 0 ? random.nextInt(SITES) : site; // one row in 20 belongs to another site
        return String.format(java.util.Locale.ROOT, "%s,city-%d,%d,%.4f,%.4f,2026-%02d-%02d", id, rowSite / 2,
                20 + rowSite * 10 + random.nextInt(40), lon, lat, 1 + site % 12, 1 + random.nextInt(28));
    }

    private static Map<String, String> query(Random random, int kind) {
        var siteRandom = new Random(random.nextInt(SITES));
        var conditions = new HashMap<String, String>();
        int site = random.nextInt(SITES);
        switch (KINDS[kind]) {
            case "city" -> conditions.put("city", "city-" + random.nextInt(SITES));
            case "price" -> conditions.put("price", "" + (20 + random.nextInt(250)));
            case "time" -> conditions.put("datetime", "2026-" + String.format("%02d", 1 + site % 12) + "-1"
                    + random.nextInt(10));
            case "none" -> conditions.put("city", "city*"); // a possible pattern: no site is left out, none has it
            default -> {
                int lon = siteRandom.nextInt(300) - 150;
                int lat = siteRandom.nextInt(120) - 60;
                conditions.put("bbox", lon - 1 + "," + (lat - 1) + "," + (lon + 2) + "," + (lat + 2));
                if (KINDS[kind].contains("price")) {
                    conditions.put("price", "" + (20 + random.nextInt(250)));
                }
            }
        }
        return conditions;
    }

    /** Starts the servers and both gatherers and runs the queries. */
    public static void main(String[] args) throws Exception {
        int queries = args.length > 0 ? Integer.parseInt(args[0]) : 3000;
        var random = new Random(args.length > 1 ? Long.parseLong(args[1]) : 1);
        Path folder = Files.createTempDirectory("pruning");
        var rows = new ArrayList<String>();
        for (int i = 0; i < SITES * 100; i++) {
            rows.add(i % SITES + "," + row(random, i % SITES, i % SITES + "-" + i));
        }
        var fleet = new RowFleet(folder, SITES, 4, 2000, rows);
        try {
            var all = fleet.gatherer("all", "");
            var pruned = fleet.gatherer("all", fleet.section("{share: 0.01}"));
            run(fleet, all, pruned, queries, random);
        } finally {
            fleet.close();
        }
    }

    private static void run(RowFleet fleet, RowFleet.Front all, RowFleet.Front pruned, int queries, Random random)
            throws Exception {
        var latencyMicros = new Histogram[2][KINDS.length];
        for (var histograms : latencyMicros) {
            Arrays.setAll(histograms, i -> new Histogram(60_000_000, 3));
        }
        var writeMicros = new Histogram(60_000_000, 3);
        var sentParts = new long[2][KINDS.length];
        var oracleParts = new long[KINDS.length];
        var queryCount = new long[KINDS.length];
        long incompleteAnswers = 0;
        long failed = 0;
        long partsBefore = 0;
        for (int number = -WARM_UP_QUERIES; number < queries; number++) {
            partsBefore = number == 0 ? fleet.parts() : partsBefore;
            int kind = random.nextInt(KINDS.length);
            var conditions = query(random, kind);
            if (number % 5 == 0) {
                int site = random.nextInt(SITES);
                long startNanos = System.nanoTime();
                fleet.write(site, row(random, site, site + "-w" + number));
                writeMicros.recordValue((System.nanoTime() - startNanos) / 1000);
            }
            Set<String> expected = fleet.expected(conditions);
            boolean swap = random.nextBoolean();
            for (int turn = 0; turn < 2; turn++) {
                int gathererIndex = swap ? 1 - turn : turn;
                long startNanos = System.nanoTime();
                var page = Client.get(gathererIndex == 0 ? all.port() : pruned.port(),
                        RowFleet.target(conditions, 1000));
                long micros = (System.nanoTime() - startNanos) / 1000;
                if (number < 0) {
                    continue;
                }
                latencyMicros[gathererIndex][kind].recordValue(micros);
                Matcher queriedMatcher = QUERIED_SERVERS.matcher(page.body);
                sentParts[gathererIndex][kind] += queriedMatcher.find() ? Integer.parseInt(queriedMatcher.group(1))
                        : SITES;
                failed += page.status == 200 && page.body.contains("\"complete\":true") ? 0 : 1;
                var missingIds = new TreeSet<>(expected);
                missingIds.removeAll(RowFleet.ids(page.body));
                for (Matcher next = NEXT_LINK.matcher(page.body); next.find(); next = NEXT_LINK.matcher(page.body)) {
                    // only the rows of further pages are checked
                    page = Client.get(gathererIndex == 0 ? all.port() : pruned.port(), next.group(1));
                    missingIds.removeAll(RowFleet.ids(page.body));
                }
                incompleteAnswers += page.status == 200 && !missingIds.isEmpty() ? 1 : 0;
            }
            if (number >= 0) {
                queryCount[kind]++;
                oracleParts[kind] += expected.stream().map(id -> id.split("-")[0]).distinct().count();
            }
        }
        System.out.printf("queries %d, each to both; answers that lack a confirmed row %d, not whole %d%n",
                queries, incompleteAnswers, failed);
        System.out.printf("parts of first pages that came to the servers %d, told by the pages %d%n",
                fleet.parts() - partsBefore, Arrays.stream(sentParts[0]).sum() + Arrays.stream(sentParts[1]).sum());
        System.out.println("| conditions | queries | asking all | sent | oracle | sent / oracle | "
                + "all: p50, p99 ms | left out: p50, p99 ms |");
        for (int kind = 0; kind < KINDS.length; kind++) {
            System.out.printf("| %s | %d | %d | %d | %d | %.3f | %.1f, %.1f | %.1f, %.1f |%n", KINDS[kind],
                    queryCount[kind], sentParts[0][kind], sentParts[1][kind], oracleParts[kind],
                    (double) sentParts[1][kind] / oracleParts[kind],
                    latencyMicros[0][kind].getValueAtPercentile(50) / 1e3,
                    latencyMicros[0][kind].getValueAtPercentile(99) / 1e3,
                    latencyMicros[1][kind].getValueAtPercentile(50) / 1e3,
                    latencyMicros[1][kind].getValueAtPercentile(99) / 1e3);
        }
        System.out.printf("writes %d, confirmed after p50 %.1f p99 %.1f ms%n", writeMicros.getTotalCount(),
                writeMicros.getValueAtPercentile(50) / 1e3, writeMicros.getValueAtPercentile(99) / 1e3);
        Matcher removedSummaries = Pattern.compile("is taken out").matcher(String.join("\n", pruned.program().log));
        System.out.println("summaries found wrong " + removedSummaries.results().count());
    }
}
