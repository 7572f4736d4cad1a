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
 * Parts sent and time taken by real processes: one gatherer that asks all feature servers, one that leaves out those
 * that promised to have nothing, the same queries to both in turn, a write for every fifth. Each answer is held against
 * the rows that were confirmed before it was asked for. Arguments: queries, seed.
 */
public final class PruningCost {
    private static final int SITES = 16;
    private static final String[] KINDS = {"city", "price", "box", "time", "box and price", "none"};

    private static final int WARM = 500;
    private static final Pattern NEXT = Pattern.compile("\"href\":\"http://localhost([^\"]*)\",\"rel\":\"next\"");
    private static final Pattern ASKED = Pattern.compile("\"asked\":(\\d+)");

    private PruningCost() {}

    private static String row(Random random, int site, String id) {
        var own = new Random(site);
        double lon = own.nextInt(300) - 150 + random.nextDouble();
        double lat = own.nextInt(120) - 60 + random.nextDouble();
        int far = random.nextInt(20) == 0 ? random.nextInt(SITES) : site; // one in 20 is a row of elsewhere
        return String.format(java.util.Locale.ROOT, "%s,city-%d,%d,%.4f,%.4f,2026-%02d-%02d", id, far / 2,
                20 + far * 10 + random.nextInt(40), lon, lat, 1 + site % 12, 1 + random.nextInt(28));
    }

    private static Map<String, String> query(Random random, int kind) {
        var own = new Random(random.nextInt(SITES));
        var q = new HashMap<String, String>();
        int site = random.nextInt(SITES);
        switch (KINDS[kind]) {
            case "city" -> q.put("city", "city-" + random.nextInt(SITES));
            case "price" -> q.put("price", "" + (20 + random.nextInt(250)));
            case "time" -> q.put("datetime", "2026-" + String.format("%02d", 1 + site % 12) + "-1"
                    + random.nextInt(10));
            case "none" -> q.put("city", "city*"); // may be a pattern: all are asked, and nobody has it
            default -> {
                int lon = own.nextInt(300) - 150;
                int lat = own.nextInt(120) - 60;
                q.put("bbox", lon - 1 + "," + (lat - 1) + "," + (lon + 2) + "," + (lat + 2));
                if (KINDS[kind].contains("price")) {
                    q.put("price", "" + (20 + random.nextInt(250)));
                }
            }
        }
        return q;
    }

    /** Runs it. */
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
            var some = fleet.gatherer("all", fleet.section("{share: 0.01}"));
            run(fleet, all, some, queries, random);
        } finally {
            fleet.close();
        }
    }

    private static void run(RowFleet fleet, RowFleet.Front all, RowFleet.Front some, int queries, Random random)
            throws Exception {
        var took = new Histogram[2][KINDS.length];
        for (var h : took) {
            Arrays.setAll(h, i -> new Histogram(60_000_000, 3));
        }
        var wrote = new Histogram(60_000_000, 3);
        var sent = new long[2][KINDS.length];
        var oracle = new long[KINDS.length];
        var count = new long[KINDS.length];
        long lacking = 0;
        long failed = 0;
        long before = 0;
        for (int n = -WARM; n < queries; n++) {
            before = n == 0 ? fleet.parts() : before;
            int kind = random.nextInt(KINDS.length);
            var q = query(random, kind);
            if (n % 5 == 0) {
                int site = random.nextInt(SITES);
                long at = System.nanoTime();
                fleet.write(site, row(random, site, site + "-w" + n));
                wrote.recordValue((System.nanoTime() - at) / 1000);
            }
            Set<String> expected = fleet.expected(q);
            boolean swap = random.nextBoolean();
            for (int turn = 0; turn < 2; turn++) {
                int which = swap ? 1 - turn : turn;
                long at = System.nanoTime();
                var page = Client.get(which == 0 ? all.port() : some.port(), RowFleet.target(q, 1000));
                long micros = (System.nanoTime() - at) / 1000;
                if (n < 0) {
                    continue;
                }
                took[which][kind].recordValue(micros);
                Matcher m = ASKED.matcher(page.body);
                sent[which][kind] += m.find() ? Integer.parseInt(m.group(1)) : SITES;
                failed += page.status == 200 && page.body.contains("\"complete\":true") ? 0 : 1;
                var lacks = new TreeSet<>(expected);
                lacks.removeAll(RowFleet.ids(page.body));
                for (Matcher next = NEXT.matcher(page.body); next.find(); next = NEXT.matcher(page.body)) {
                    page = Client.get(which == 0 ? all.port() : some.port(), next.group(1)); // for the rows alone
                    lacks.removeAll(RowFleet.ids(page.body));
                }
                lacking += page.status == 200 && !lacks.isEmpty() ? 1 : 0;
            }
            if (n >= 0) {
                count[kind]++;
                oracle[kind] += expected.stream().map(id -> id.split("-")[0]).distinct().count();
            }
        }
        System.out.printf("queries %d, each to both; answers that lack a confirmed row %d, not whole %d%n",
                queries, lacking, failed);
        System.out.printf("parts of first pages that came to the servers %d, told by the pages %d%n",
                fleet.parts() - before, Arrays.stream(sent[0]).sum() + Arrays.stream(sent[1]).sum());
        System.out.println("| conditions | queries | asking all | sent | oracle | sent / oracle | "
                + "all: p50, p99 ms | left out: p50, p99 ms |");
        for (int k = 0; k < KINDS.length; k++) {
            System.out.printf("| %s | %d | %d | %d | %d | %.3f | %.1f, %.1f | %.1f, %.1f |%n", KINDS[k],
                    count[k], sent[0][k], sent[1][k], oracle[k], (double) sent[1][k] / oracle[k],
                    took[0][k].getValueAtPercentile(50) / 1e3,
                    took[0][k].getValueAtPercentile(99) / 1e3, took[1][k].getValueAtPercentile(50) / 1e3,
                    took[1][k].getValueAtPercentile(99) / 1e3);
        }
        System.out.printf("writes %d, confirmed after p50 %.1f p99 %.1f ms%n", wrote.getTotalCount(),
                wrote.getValueAtPercentile(50) / 1e3, wrote.getValueAtPercentile(99) / 1e3);
        Matcher taken = Pattern.compile("is taken out").matcher(String.join("\n", some.program().log));
        System.out.println("summaries found wrong " + taken.results().count());
    }
}
