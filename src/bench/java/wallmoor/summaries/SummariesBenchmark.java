package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of a lookup by the number of sites, compared with evaluating every summary, and prints the bytes
 * for each site.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class SummariesBenchmark {
    private static final int ROWS = 200;

    @Param({"10", "1000", "10000"})
    private int sites;

    /** Summaries shared by all benchmarks that run in one process (-f 0). */
    private static final List<Summary> SHARED_SUMMARIES = new ArrayList<>();

    private List<Summary> summaries;
    private SummaryCache cache;
    private int lastSite;

    /** Fills the cache with sites whose leases do not expire. */
    @Setup(Level.Trial)
    public void fill() {
        cache = new SummaryCache(SummaryLimits.defaults(), SummaryCache.CacheLimits.defaults(), 0, e -> {});
        long sent = 0;
        for (int i = SHARED_SUMMARIES.size(); i < sites; i++) {
            SHARED_SUMMARIES.add(Rentals.summary(SummaryLimits.defaults(), i, ROWS));
        }
        summaries = SHARED_SUMMARIES.subList(0, sites);
        for (int i = 0; i < sites; i++) {
            Summary s = summaries.get(i);
            byte[] bytes = Encoding.encode(s);
            sent += bytes.length;
            cache.acceptGrant(1,
                    new SiteMessage.SummaryLeaseGrant(cache.beginRequest(1, new Site(s.site(), s.block())), bytes,
                            Long.MAX_VALUE / 2));
        }
        System.out.println("bytes a site of " + ROWS + " rows: sent " + sent / sites + ", with the index "
                + cache.bytes() / sites);
    }

    private Conditions condition(String property) {
        return new Conditions(null, null, List.of(Condition.parse(property)));
    }

    private int nextSite() {
        lastSite = (lastSite + 7919) % sites;
        return lastSite;
    }

    /** Looks up one city, which two sites have. */
    @Benchmark
    public int equality() {
        return cache.lookup(2, condition("city=city-" + nextSite() / 2)).excluded();
    }

    /** Looks up a key that no site has, in filters of 200 keys. */
    @Benchmark
    public int equalityOfNobody() {
        return cache.lookup(2, condition("plate=Q-" + nextSite())).excluded();
    }

    /** Looks up a box of one degree, which one site in thousands overlaps. */
    @Benchmark
    public int box() {
        double lon = nextSite() % 3590 / 10.0 - 180;
        return cache.lookup(2, new Conditions(Conditions.box(lon + ",20," + (lon + 1) + ",21"), null, List.of()))
                .excluded();
    }

    /** Looks up a price range that only two in a hundred sites overlap. */
    @Benchmark
    public int range() {
        int low = 20 + nextSite() % 100 * 10;
        return cache.lookup(2, condition("price=" + low + ".." + (low + 2))).excluded();
    }

    /** Looks up a class that half of the sites have: a condition that is not selective. */
    @Benchmark
    public int equalityOfMany() {
        return cache.lookup(2, condition("class=suv")).excluded();
    }

    /** Evaluates every summary without an index, as the baseline. */
    @Benchmark
    public int equalityWithoutIndex() {
        Conditions c = condition("city=city-" + nextSite() / 2);
        int excluded = 0;
        for (Summary s : summaries) {
            excluded += s.exclusionReason(c) != null ? 1 : 0;
        }
        return excluded;
    }
}
