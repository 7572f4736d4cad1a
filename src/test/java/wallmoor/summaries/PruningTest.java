package wallmoor.summaries;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.Test;

/** Tests which shards are pruned, how probes detect a wrong summary, and when a write may be confirmed. */
public class PruningTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final SummaryLimits LIMITS = new SummaryLimits(4096, 8, 8, 32, 1024, 1, 1);
    private final List<PruningEvent> events = new ArrayList<>();
    private final SummaryCache cache = new SummaryCache(LIMITS, SummaryCache.CacheLimits.defaults(), 0, events::add);

    private static Row row(String city, double lon) {
        return new Row(Map.of("city", city), Row.Coordinates.of(lon, 10), new TimeSpan(0, 1));
    }

    private static SummaryMaintainer maintainer(Site site, String... cities) {
        var builder = new SummaryBuilder(LIMITS, site.name(), site.block(), 1);
        for (String c : cities) {
            builder.add(row(c, 0));
        }
        return new SummaryMaintainer(LIMITS, site, 1, builder, 0, 5 * SECOND_MICROS, true);
    }

    private SummaryMaintainer leasedMaintainer(long at, Site site, String... cities) {
        SummaryMaintainer maintainer = maintainer(site, cities);
        cache.acceptGrant(at, maintainer.grantLease(at, "g", cache.beginRequest(at, site)));
        return maintainer;
    }

    private static Conditions city(String city) {
        return new Conditions(null, null, List.of(Condition.equal("city", city)));
    }

    private static Pruning.Share share(int shard, Site... holders) {
        return new Pruning.Share(shard, List.of(holders));
    }

    @Test
    public void prunesShardOnlyIfAllHoldersExcludeQuery() {
        Site a = new Site("a", "0");
        Site b = new Site("b", "0");
        Site c = new Site("c", "1");
        leasedMaintainer(1, a, "Karachi");
        leasedMaintainer(1, b, "Karachi", "Lahore");
        leasedMaintainer(1, c, "Karachi");
        var pruning = new Pruning(cache, new Pruning.ProbeBudget(0, 0, 0), new Random(1));
        var shares = List.of(share(0, a, b), share(1, c), share(2, new Site("d", "2")), share(3), share(4,
                new Site("a", "9")));
        Pruning.Decision decision = pruning.decide(2, city("Lahore"), shares, true);
        assertEquals("asked 4, left out 1", decision.describe());
        assertEquals(1, decision.pruned().get(0).shard());
        assertEquals("c: city is none of its 1 values", decision.pruned().get(0).reason());
        assertEquals("a lease that has ended", 5, pruning.decide(6 * SECOND_MICROS, city("Lahore"), shares, true).ask()
                .size());
    }

    @Test
    public void distrustsSummaryDisprovedByProbe() {
        Site wrongSite = new Site("liar", "0");
        // the site also has rows in Lahore, which its summary omits
        SummaryMaintainer maintainer = leasedMaintainer(1, wrongSite, "Karachi");
        var pruning = new Pruning(cache, new Pruning.ProbeBudget(0.05, 1000, 5), new Random(7));
        assertTrue("a query that may not be repeated is never probed", pruning.decide(1, city("Lahore"),
                List.of(share(0, wrongSite)), false)
                .probes().isEmpty());
        int queries = 0;
        Pruning.Decision decision;
        do {
            queries++;
            decision = pruning.decide(1 + queries, city("Lahore"), List.of(share(0, wrongSite)), true);
        } while (decision.probes().isEmpty() && queries < 1000);
        assertEquals(List.of(0), decision.ask());
        Pruning.PrunedShard excluded = decision.probes().get(0);
        assertFalse("no rows prove nothing", pruning.reportProbe(2000, excluded, wrongSite, 1, 1, 0));
        assertFalse("the rows may be newer than the summary", pruning.reportProbe(2000, excluded, wrongSite, 1, 2, 3));
        assertTrue(events.isEmpty());
        assertTrue(pruning.reportProbe(2000, excluded, wrongSite, 1, 1, 3));
        assertTrue(events.get(0) instanceof PruningEvent.FalseCut f && f.site().equals(wrongSite) && f.text()
                .contains("returned 3 rows"));
        cache.acceptGrant(3000, maintainer.grantLease(3000, "g", cache.beginRequest(3000, wrongSite)));
        assertEquals(MatchResult.MatchKind.UNKNOWN, cache.lookup(3000, city("Lahore")).match(wrongSite).kind());
        cache.readmit(wrongSite);
        cache.acceptGrant(4000, maintainer.grantLease(4000, "g", cache.beginRequest(4000, wrongSite)));
        assertEquals(MatchResult.MatchKind.CANNOT, cache.lookup(4000, city("Lahore")).match(wrongSite).kind());
    }

    @Test
    public void limitsProbesByBudget() {
        Site a = new Site("a", "0");
        leasedMaintainer(1, a, "Karachi");
        var pruning = new Pruning(cache, new Pruning.ProbeBudget(1, 10, 3), new Random(1));
        var many = new ArrayList<Pruning.Share>();
        for (int i = 0; i < 100; i++) {
            many.add(share(i, a));
        }
        assertEquals(3, pruning.decide(2, city("x"), many, true).probes().size());
        assertEquals(2, pruning.decide(2 + SECOND_MICROS / 5, city("x"), many, true).probes().size());
    }

    @Test
    public void confirmsWriteAfterAcknowledgementOrLeaseEnd() {
        Site a = new Site("a", "0");
        SummaryMaintainer maintainer = leasedMaintainer(1, a, "Karachi");
        assertTrue("covered", maintainer.write(2, List.of(row("Karachi", 0))).confirm());
        SummaryMaintainer.WriteDecision farWrite = maintainer.write(3, List.of(row("Karachi", 20)));
        SummaryMaintainer.WriteDecision betweenWrite = maintainer.write(4, List.of(row("Karachi", 10)));
        assertFalse("no gatherer has the widened box yet", farWrite.confirm() || betweenWrite.confirm());
        var box = new Conditions(Conditions.box("9,9,11,11"), null, List.of());
        assertEquals(MatchResult.MatchKind.CANNOT, cache.lookup(4, box).match(a).kind());
        assertEquals(List.of(), maintainer.acknowledged(5, "g", maintainer.currentSummary().version() - 2));
        assertEquals(2, cache.applyWidening(5, farWrite.widening()));
        assertEquals(List.of(farWrite.id()), maintainer.acknowledged(5, "g", 2));
        assertEquals("no acknowledgement, the lease still runs", List.of(), maintainer.tick(4 * SECOND_MICROS));
        assertEquals(List.of(betweenWrite.id()), maintainer.tick(5 * SECOND_MICROS + 1));
        assertNotEquals(MatchResult.MatchKind.CANNOT, cache.lookup(5 * SECOND_MICROS + 1, box).match(a).kind());
        assertEquals(Long.MAX_VALUE, maintainer.nextDeadline());
    }
}
