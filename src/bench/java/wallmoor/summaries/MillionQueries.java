package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Random queries with writes between: counts false cuts against the rows themselves, and parts sent beside asking all
 * and beside an oracle that asks only sites with a matching row. Arguments: queries, sites, seed.
 */
public final class MillionQueries {
    private static final int ROWS = 60;
    private static final long LIFETIME = 60_000_000;

    private final Random random;
    private final List<List<Row>> rows = new ArrayList<>();
    private final List<SummaryMaintainer> keepers = new ArrayList<>();
    private final List<Site> sites = new ArrayList<>();
    private final SummaryCache known;
    private final int[] deleted;
    private long now = 1;
    private long writes;
    private long widenings;
    private long falseCuts;
    private final long[][] parts = new long[KINDS.length][4];

    private static final String[] KINDS = {"equality", "range", "box", "time", "box and equality"};

    private MillionQueries(int count, long seed) {
        random = new Random(seed);
        deleted = new int[count];
        known = new SummaryCache(SummaryLimits.defaults(), SummaryCache.CacheLimits.defaults(), 0, e -> {
            throw new IllegalStateException(e.text());
        });
        for (int i = 0; i < count; i++) {
            var site = new Site("site-" + i, "b" + i);
            sites.add(site);
            var own = new ArrayList<Row>();
            var draft = new SummaryBuilder(SummaryLimits.defaults(), site.name(), site.block(), 1);
            for (int r = 0; r < ROWS; r++) {
                own.add(Rentals.row(random, i));
                draft.add(own.get(r));
            }
            rows.add(own);
            keepers.add(new SummaryMaintainer(SummaryLimits.defaults(), site, 1, draft, now, LIFETIME, true));
            ask(i);
        }
    }

    private void ask(int i) {
        long ticket = known.beginRequest(now, sites.get(i));
        known.acceptGrant(now, keepers.get(i).grantLease(now, "g", ticket));
    }

    /** Now and then a row of somewhere else, so that summaries must widen. */
    private void write() {
        int i = random.nextInt(sites.size());
        Row row = Rentals.row(random, random.nextInt(20) == 0 ? random.nextInt(sites.size()) : i);
        SummaryMaintainer.WriteDecision w = keepers.get(i).write(now, List.of(row));
        writes++;
        if (!w.confirm()) {
            widenings++;
            long version = known.applyWidening(now, w.widening());
            if (!keepers.get(i).acknowledged(now, "g", version).contains(w.id())) {
                throw new IllegalStateException("not confirmed");
            }
        }
        if (rows.get(i).size() < 2 * ROWS) {
            rows.get(i).add(row);
        } else {
            rows.get(i).set(random.nextInt(2 * ROWS), row); // one is deleted: the summary stays as wide as it was
            deleted[i]++;
        }
        if (deleted[i] > rows.get(i).size() / 10) { // it is made anew, and asked for again
            deleted[i] = 0;
            SummaryBuilder next = keepers.get(i).rebuild();
            rows.get(i).forEach(next::add);
            known.applyWidening(now, keepers.get(i).adopt(now).widening());
            ask(i);
        }
        if (writes % 997 == 0) {
            known.invalidateBlock(now, sites.get(i).block());
            ask(i);
        }
    }

    private void query() {
        int kind = random.nextInt(KINDS.length);
        Row like = rows.get(random.nextInt(sites.size())).get(random.nextInt(ROWS));
        Conditions.QueryBox box = null;
        TimeSpan time = null;
        var conditions = new ArrayList<Condition>();
        if (kind == 0 || kind == 4) {
            String name = kind == 4 ? "class" : List.of("city", "plate", "model").get(random.nextInt(3));
            conditions.add(Condition.equal(name, like.values().get(name)));
        }
        if (kind == 1) {
            long low = (Long) like.values().get("price");
            conditions.add(Condition.range("price", "" + low, "" + (low + random.nextInt(20))));
        }
        double half = 0.1 + random.nextDouble();
        double w = like.place().lon() - half;
        double e = like.place().lon() + half;
        double s = Math.max(-90, like.place().lat() - half);
        double n = Math.min(90, like.place().lat() + half);
        if (kind == 2 || kind == 4) {
            box = Conditions.box((w < -180 ? w + 360 : w) + "," + s + "," + (e > 180 ? e - 360 : e) + "," + n);
        }
        if (kind == 3) {
            time = new TimeSpan(like.time().from(), like.time().from() + random.nextInt(10) * 86_400_000_000L);
        }
        Conditions c = new Conditions(box, time, conditions);
        SummaryLookup lookup = known.lookup(now, c);
        for (int i = 0; i < sites.size(); i++) {
            boolean has = false;
            for (Row row : rows.get(i)) {
                if (matches(row, c, w, e, s, n)) {
                    has = true;
                    break;
                }
            }
            boolean asked = lookup.excluding(sites.get(i)) == null;
            falseCuts += has && !asked ? 1 : 0;
            parts[kind][0]++;
            parts[kind][1] += asked ? 1 : 0;
            parts[kind][2] += has ? 1 : 0;
        }
        parts[kind][3]++;
    }

    /** By the rows as they are: texts and numbers as they stand, boxes on the plane with the wrap. */
    private static boolean matches(Row row, Conditions c, double w, double e, double s, double n) {
        if (c.time() != null && !row.time().overlaps(c.time())) {
            return false;
        }
        double lon = row.place().lon();
        if (c.box() != null && (row.place().lat() < s || row.place().lat() > n
                || !(lon >= w && lon <= e || lon + 360 >= w && lon + 360 <= e || lon - 360 >= w && lon - 360 <= e))) {
            return false;
        }
        for (Condition p : c.properties()) {
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
            if (q % 30_000 == 29_999) { // a query a millisecond: promises are renewed when half of them is over
                for (int i = 0; i < count; i++) {
                    run.ask(i);
                }
            }
            run.query();
        }
        System.out.println(queries + " queries, " + count + " sites, " + run.writes + " writes, " + run.widenings
                + " widenings, " + run.falseCuts + " false cuts");
        System.out.println("kind | queries | parts asking all | parts sent | parts of an oracle | sent / oracle");
        for (int k = 0; k < KINDS.length; k++) {
            long[] p = run.parts[k];
            System.out.printf("%s | %d | %d | %d | %d | %.3f%n", KINDS[k], p[3], p[0], p[1], p[2],
                    (double) p[1] / p[2]);
        }
        if (run.falseCuts > 0) {
            System.exit(1);
        }
    }
}
