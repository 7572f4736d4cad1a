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

/** Which shards are left out, what finds a summary that is wrong, and when a write may be confirmed. */
public class PruningTest {
    private static final long SECOND = 1_000_000;
    private static final SummaryLimits SETTINGS = new SummaryLimits(4096, 8, 8, 32, 1024, 1, 1);
    private final List<PruningEvent> events = new ArrayList<>();
    private final SummaryCache known = new SummaryCache(SETTINGS, SummaryCache.CacheLimits.defaults(), 0, events::add);

    private static Row row(String city, double lon) {
        return new Row(Map.of("city", city), Row.Coordinates.of(lon, 10), new TimeSpan(0, 1));
    }

    private static SummaryMaintainer keeper(Site site, String... cities) {
        var draft = new SummaryBuilder(SETTINGS, site.name(), site.block(), 1);
        for (String c : cities) {
            draft.add(row(c, 0));
        }
        return new SummaryMaintainer(SETTINGS, site, 1, draft, 0, 5 * SECOND, true);
    }

    private SummaryMaintainer held(long at, Site site, String... cities) {
        SummaryMaintainer k = keeper(site, cities);
        known.acceptGrant(at, k.grantLease(at, "g", known.beginRequest(at, site)));
        return k;
    }

    private static Conditions city(String city) {
        return new Conditions(null, null, List.of(Condition.equal("city", city)));
    }

    private static Pruning.Share share(int shard, Site... holders) {
        return new Pruning.Share(shard, List.of(holders));
    }

    @Test
    public void aShareIsLeftOutOnlyWhereAllWhoMayAnswerItExcludeIt() {
        Site a = new Site("a", "0");
        Site b = new Site("b", "0");
        Site c = new Site("c", "1");
        held(1, a, "Karachi");
        held(1, b, "Karachi", "Lahore");
        held(1, c, "Karachi");
        var pruning = new Pruning(known, new Pruning.ProbeBudget(0, 0, 0), new Random(1));
        var shares = List.of(share(0, a, b), share(1, c), share(2, new Site("d", "2")), share(3), share(4,
                new Site("a", "9")));
        Pruning.Decision d = pruning.decide(2, city("Lahore"), shares, true);
        assertEquals("asked 4, left out 1", d.told());
        assertEquals(1, d.pruned().get(0).shard());
        assertEquals("c: city is none of its 1 values", d.pruned().get(0).because());
        assertEquals("a promise that has ended", 5, pruning.decide(6 * SECOND, city("Lahore"), shares, true).ask()
                .size());
    }

    @Test
    public void aFalseSummaryIsFoundAndTakenOutAtOnce() {
        Site liar = new Site("liar", "0");
        SummaryMaintainer k = held(1, liar, "Karachi"); // it has rows in Lahore too, and does not tell
        var pruning = new Pruning(known, new Pruning.ProbeBudget(0.05, 1000, 5), new Random(7));
        assertTrue("what may not repeat is never asked for nothing", pruning.decide(1, city("Lahore"),
                List.of(share(0, liar)), false)
                .probes().isEmpty());
        int queries = 0;
        Pruning.Decision d;
        do {
            queries++;
            d = pruning.decide(1 + queries, city("Lahore"), List.of(share(0, liar)), true);
        } while (d.probes().isEmpty() && queries < 1000);
        assertEquals(List.of(0), d.ask());
        Pruning.PrunedShard cut = d.probes().get(0);
        assertFalse("no rows prove nothing", pruning.reportProbe(2000, cut, liar, 1, 1, 0));
        assertFalse("they may be newer than the cut", pruning.reportProbe(2000, cut, liar, 1, 2, 3));
        assertTrue(events.isEmpty());
        assertTrue(pruning.reportProbe(2000, cut, liar, 1, 1, 3));
        assertTrue(events.get(0) instanceof PruningEvent.FalseCut f && f.site().equals(liar) && f.text()
                .contains("3 rows came"));
        known.acceptGrant(3000, k.grantLease(3000, "g", known.beginRequest(3000, liar)));
        assertEquals(MatchResult.MatchKind.UNKNOWN, known.lookup(3000, city("Lahore")).match(liar).kind());
        known.readmit(liar);
        known.acceptGrant(4000, k.grantLease(4000, "g", known.beginRequest(4000, liar)));
        assertEquals(MatchResult.MatchKind.CANNOT, known.lookup(4000, city("Lahore")).match(liar).kind());
    }

    @Test
    public void whatIsAskedAllTheSameStaysWithinItsBudget() {
        Site a = new Site("a", "0");
        held(1, a, "Karachi");
        var pruning = new Pruning(known, new Pruning.ProbeBudget(1, 10, 3), new Random(1));
        var many = new ArrayList<Pruning.Share>();
        for (int i = 0; i < 100; i++) {
            many.add(share(i, a));
        }
        assertEquals(3, pruning.decide(2, city("x"), many, true).probes().size());
        assertEquals(2, pruning.decide(2 + SECOND / 5, city("x"), many, true).probes().size());
    }

    @Test
    public void aWriteWaitsForAllWhoMayHoldWhatItsSummaryExcludes() {
        Site a = new Site("a", "0");
        SummaryMaintainer k = held(1, a, "Karachi");
        assertTrue("covered", k.write(2, List.of(row("Karachi", 0))).confirm());
        SummaryMaintainer.WriteDecision far = k.write(3, List.of(row("Karachi", 20)));
        SummaryMaintainer.WriteDecision between = k.write(4, List.of(row("Karachi", 10)));
        assertFalse("the box round both is not held by anybody yet", far.confirm() || between.confirm());
        var box = new Conditions(Conditions.box("9,9,11,11"), null, List.of());
        assertEquals(MatchResult.MatchKind.CANNOT, known.lookup(4, box).match(a).kind());
        assertEquals(List.of(), k.acknowledged(5, "g", k.currentSummary().version() - 2));
        assertEquals(2, known.applyWidening(5, far.widening()));
        assertEquals(List.of(far.id()), k.acknowledged(5, "g", 2));
        assertEquals("none acknowledges, the promise ends", List.of(), k.tick(4 * SECOND));
        assertEquals(List.of(between.id()), k.tick(5 * SECOND + 1));
        assertNotEquals(MatchResult.MatchKind.CANNOT, known.lookup(5 * SECOND + 1, box).match(a).kind());
        assertEquals(Long.MAX_VALUE, k.nextDeadline());
    }
}
