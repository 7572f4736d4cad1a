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

/** What a look-up costs by the number of sites, and beside it trying every summary; bytes a site are printed. */
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

    /** Made once where all benchmarks run in one program (-f 0). */
    private static final List<Summary> MADE = new ArrayList<>();

    private List<Summary> all;
    private SummaryCache known;
    private int turn;

    /** Sites with a promise that lasts. */
    @Setup(Level.Trial)
    public void fill() {
        known = new SummaryCache(SummaryLimits.defaults(), SummaryCache.CacheLimits.defaults(), 0, e -> {});
        long sent = 0;
        for (int i = MADE.size(); i < sites; i++) {
            MADE.add(Rentals.summary(SummaryLimits.defaults(), i, ROWS));
        }
        all = MADE.subList(0, sites);
        for (int i = 0; i < sites; i++) {
            Summary s = all.get(i);
            byte[] bytes = Encoding.encode(s);
            sent += bytes.length;
            known.acceptGrant(1,
                    new SiteMessage.SummaryLeaseGrant(known.beginRequest(1, new Site(s.site(), s.block())), bytes,
                            Long.MAX_VALUE / 2));
        }
        System.out.println("bytes a site of " + ROWS + " rows: sent " + sent / sites + ", with the index "
                + known.bytes() / sites);
    }

    private Conditions condition(String property) {
        return new Conditions(null, null, List.of(Condition.parse(property)));
    }

    private int next() {
        turn = (turn + 7919) % sites;
        return turn;
    }

    /** One city: two sites have it. */
    @Benchmark
    public int equality() {
        return known.lookup(2, condition("city=city-" + next() / 2)).excluded();
    }

    /** A key nobody has, in filters of 200 keys. */
    @Benchmark
    public int equalityOfNobody() {
        return known.lookup(2, condition("plate=Q-" + next())).excluded();
    }

    /** A box of a degree: one site in thousands. */
    @Benchmark
    public int box() {
        double lon = next() % 3590 / 10.0 - 180;
        return known.lookup(2, new Conditions(Conditions.box(lon + ",20," + (lon + 1) + ",21"), null, List.of()))
                .excluded();
    }

    /** A range that every site's prices are outside of but two in a hundred's. */
    @Benchmark
    public int range() {
        int low = 20 + next() % 100 * 10;
        return known.lookup(2, condition("price=" + low + ".." + (low + 2))).excluded();
    }

    /** A class that half of the sites have: not selective. */
    @Benchmark
    public int equalityOfMany() {
        return known.lookup(2, condition("class=suv")).excluded();
    }

    /** The baseline: each summary tried. */
    @Benchmark
    public int equalityWithoutIndex() {
        Conditions c = condition("city=city-" + next() / 2);
        int out = 0;
        for (Summary s : all) {
            out += s.exclusionReason(c) != null ? 1 : 0;
        }
        return out;
    }
}
