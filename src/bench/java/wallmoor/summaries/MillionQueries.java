package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Runs random queries with writes between them. Counts false exclusions by checking the rows themselves, and compares
 * the parts sent with querying all sites and with an oracle that queries only sites with a matching row. Arguments:
 * queries, sites, seed.
 */
public final class MillionQueries {
    private static final int ROWS = 60;
    private static final long LIFETIME_MICROS = 60_000_000;

    private final Random random;
    private final List<List<Row>> rows = new ArrayList<>();
    private final List<SummaryMaintainer> maintainers = new ArrayList<>();
    private final List<Site> sites = new ArrayList<>();
    private final SummaryCache cache;
    private final int[] replacedRows;
    private long now = 1;
    private long writes;
    private long widenings;
    private long falseExclusions;
    private final long[][] parts = new long[KINDS.length][4];

    private static final String[] KINDS = {"equality", "range", "box", "time", "box and equality"};

    private MillionQueries(int count, long seed) {
        random = new Random(seed);
        replacedRows = new int[count];
        cache = new SummaryCache(SummaryLimits.defaults(), SummaryCache.CacheLimits.defaults(), 0, event -> {
            throw new IllegalStateException(event.text());
        });
        for (int i = 0; i < count; i++) {
            var site = new Site("site-" + i, "b" + i);
            sites.add(site);
            var siteRows = new ArrayList<Row>();
            var builder = new SummaryBuilder(SummaryLimits.defaults(), site.name(), site.block(), 1);
            for (int r = 0; r < ROWS; r++) {
                siteRows.add(Rentals.row(random, i));
                builder.add(siteRows.get(r));
            }
            rows.add(siteRows);
            maintainers.add(new SummaryMaintainer(SummaryLimits.defaults(), site, 1, builder, now, LIFETIME_MICROS,
                    true));
            requestSummary(i);
        }
    }

    private void requestSummary(int i) {
        long ticket = cache.beginRequest(now, sites.get(i));
        cache.acceptGrant(now, maintainers.get(i).grantLease(now, "g", ticket));
    }

    /** Writes a row; one in 20 comes from the pattern of a random site, so that summaries must widen. */
    private void write() {
        int i = random.nextInt(sites.size());
        Row row = Rentals.row(random, random.nextInt(20) == 0 ? random.nextInt(sites.size()) : i);
        SummaryMaintainer.WriteDecision decision = maintainers.get(i).write(now, List.of(row));
        writes++;
        if (!decision.confirm()) {
            widenings++;
            long version = cache.applyWidening(now, decision.widening());
            if (!maintainers.get(i).acknowledged(now, "g", version).contains(decision.id())) {
                throw new IllegalStateException("write " + decision.id() + " at " + sites.get(i).name()
                        + " not confirmed by version " + version);
            }
        }
        if (rows.get(i).size() < 2 * ROWS) {
            rows.get(i).add(row);
        } else {
            rows.get(i).set(random.nextInt(2 * ROWS), row); // replaces a row: the summary does not shrink
            replacedRows[i]++;
        }
        if (replacedRows[i] > rows.get(i).size() / 10) { // rebuilds the summary and requests it again
            replacedRows[i] = 0;
            SummaryBuilder rebuilt = maintainers.get(i).rebuild();
            rows.get(i).forEach(rebuilt::add);
            cache.applyWidening(now, maintainers.get(i).adopt(now).widening());
            requestSummary(i);
        }
        if (writes % 997 == 0) {
            cache.invalidateBlock(now, sites.get(i).block());
            requestSummary(i);
        }
    }

    private void query() {
        int kind = random.nextInt(KINDS.length);
        Row sampleRow = rows.get(random.nextInt(sites.size())).get(random.nextInt(ROWS));
        Conditions.QueryBox box = null;
        TimeSpan time = null;
        var properties = new ArrayList<Condition>();
        if (kind == 0 || kind == 4) {
            String name = kind == 4 ? "class" : List.of("city", "plate", "model").get(random.nextInt(3));
            properties.add(Condition.equal(name, sampleRow.values().get(name)));
        }
        if (kind == 1) {
            long low = (Long) sampleRow.values().get("price");
            properties.add(Condition.range("price", "" + low, "" + (low + random.nextInt(20))));
        }
        double halfDegrees = 0.1 + random.nextDouble();
        double west = sampleRow.place().lon() - halfDegrees;
        double east = sampleRow.place().lon() + halfDegrees;
        double south = Math.max(-90, sampleRow.place().lat() - halfDegrees);
        double north = Math.min(90, sampleRow.place().lat() + halfDegrees);
        if (kind == 2 || kind == 4) {
            box = Conditions.box((west < -180 ? west + 360 : west) + "," + south + ","
                    + (east > 180 ? east - 360 : east) + "," + north);
        }
        if (kind == 3) {
            time = new TimeSpan(sampleRow.time().from(), sampleRow.time().from() + random.nextInt(10)
                    * 86_400_000_000L);
        }
        Conditions conditions = new Conditions(box, time, properties);
        SummaryLookup lookup = cache.lookup(now, conditions);
        for (int i = 0; i < sites.size(); i++) {
            boolean hasMatch = false;
            for (Row row : rows.get(i)) {
                if (matches(row, conditions, west, east, south, north)) {
                    hasMatch = true;
                    break;
                }
            }
            boolean isQueried = lookup.excluding(sites.get(i)) == null;
            falseExclusions += hasMatch && !isQueried ? 1 : 0;
            parts[kind][0]++;
            parts[kind][1] += isQueried ? 1 : 0;
            parts[kind][2] += hasMatch ? 1 : 0;
        }
        parts[kind][3]++;
    }

    /**
     * Evaluates the conditions directly on a row: values are compared as they are, boxes as plane rectangles that wrap
     * at the antimeridian.
     */
    private static boolean matches(Row row, Conditions conditions, double west, double east, double south,
            double north) {
        if (conditions.time() != null && !row.time().overlaps(conditions.time())) {
            return false;
        }
        double lon = row.place().lon();
        if (conditions.box() != null && (row.place().lat() < south || row.place().lat() > north
                || !(lon >= west && lon <= east || lon + 360 >= west && lon + 360 <= east || lon - 360 >= west && lon
                        - 360 <= east))) {
            return false;
        }
        for (Condition p : conditions.properties()) {
            Object value = row.values().get(p.property());
            if (p instanceof Condition.Range r ? (Long) value < r.lowest() || (Long) value > r.highest()
                    : !((Condition.Equal) p).key().equals(value.toString().toLowerCase(java.util.Locale.ROOT))) {
                return false;
            }
        }
        return true;
    }

    public static void main(String[] args) {
        long queries = args.length > 0 ? Long.parseLong(args[0]) : 1_000_000;
        int count = args.length > 1 ? Integer.parseInt(args[1]) : 50;
        var run = new MillionQueries(count, args.length > 2 ? Long.parseLong(args[2]) : 1);
        for (long q = 0; q < queries; q++) {
            run.now += 1000;
            if (q % 3 == 0) {
                run.write();
            }
            if (q % 30_000 == 29_999) { // at a query a millisecond, renews the leases at half of their lifetime
                for (int i = 0; i < count; i++) {
                    run.requestSummary(i);
                }
            }
            run.query();
        }
        System.out.println(queries + " queries, " + count + " sites, " + run.writes + " writes, " + run.widenings
                + " widenings, " + run.falseExclusions + " false cuts");
        System.out.println("kind | queries | parts asking all | parts sent | parts of an oracle | sent / oracle");
        for (int k = 0; k < KINDS.length; k++) {
            long[] p = run.parts[k];
            System.out.printf("%s | %d | %d | %d | %d | %.3f%n", KINDS[k], p[3], p[0], p[1], p[2],
                    (double) p[1] / p[2]);
        }
        if (run.falseExclusions > 0) {
            System.exit(1);
        }
    }
}
