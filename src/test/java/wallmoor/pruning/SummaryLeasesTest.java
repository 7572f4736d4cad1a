package wallmoor.pruning;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import wallmoor.config.SummariesConfig;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpProtocolException;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleBody;
import wallmoor.rules.RuleReader;
import wallmoor.summaries.Condition;
import wallmoor.summaries.Conditions;
import wallmoor.summaries.Pruning;
import wallmoor.summaries.Row;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;
import wallmoor.summaries.SummaryBuilder;
import wallmoor.summaries.SummaryLimits;
import wallmoor.summaries.SummaryMaintainer;

/** Who may be left out: by whose word, at which address, for how long; and what proves a summary wrong. */
public class SummaryLeasesTest {
    private static final long SECOND = 1_000_000;
    private static final String BOTH = "{\"prunable\":[\"fs1\",\"fs2\"],\"summary.fs1\":\"1\",\"summary.fs2\":\"1\"}";
    private static final Site SITE = new Site("fs1", "rows-0");
    private static final Conditions LAHORE = new Conditions(null, null, List.of(Condition.equal("city", "Lahore")));
    private long now = SECOND;
    private EffectiveRule act;
    private int looks;
    private final SummariesConfig config = new SummariesConfig(Set.of("fs1"), 5000, 50, 100, 0, 0, 0, 65536, 1 << 20);
    private SummaryLeases promises = new SummaryLeases(config, "g", () -> now, RuleReader.NONE);
    private final SummaryMaintainer keeper;

    public SummaryLeasesTest() {
        var draft = new SummaryBuilder(SummaryLimits.defaults(), SITE.name(), SITE.block(), 1);
        draft.add(row("Karachi"));
        keeper = new SummaryMaintainer(SummaryLimits.defaults(), SITE, 1, draft, now, 60 * SECOND, true);
        at("a:1", "fs1", "fs2");
    }

    private static Row row(String city) {
        return new Row(Map.of("city", city), null, null);
    }

    private void at(String address, String... names) {
        promises.updateServers(List.of(names).stream()
                .map(n -> new SummaryLeases.SummaryServer(n, address, Set.of("rows-0"))).toList());
    }

    private void hold(String address) {
        promises.acceptGrant(SITE, keeper.grantLease(now, "g", promises.beginRequest(SITE, address)));
    }

    private List<Pruning.PrunedShard> pruned() {
        return promises.decide(LAHORE, List.of(new Pruning.Share(0, List.of(SITE))), true).decision().pruned();
    }

    private void agreed(EffectiveRule.Basis basis, String body) throws Exception {
        act = new EffectiveRule(basis, 7, basis == EffectiveRule.Basis.CAREFUL ? 8 : 7,
                DocumentSchemas.SUMMARIES.parse(body));
    }

    @Test
    public void onlyTheActingVersionNamesWhoMayBeLeftOut() throws Exception {
        hold("a:1");
        assertEquals("without any agreement the file's own list", 1, pruned().size());
        assertNull(promises.decide(LAHORE, List.of(), true).effectiveRule());
        promises = new SummaryLeases(config, "g", () -> now, name -> {
            looks++;
            return name.equals("summaries") ? act : null;
        });
        at("a:1", "fs1", "fs2");
        hold("a:1");
        act = RuleReader.NONE.effectiveRule("summaries");
        assertEquals("the file's list is no agreement", 0, pruned().size());
        agreed(EffectiveRule.Basis.VERSION, BOTH);
        assertEquals(1, pruned().size());
        looks = 0;
        var shares = List.of(new Pruning.Share(0, List.of(SITE)), new Pruning.Share(1, List.of(SITE)));
        assertEquals(7, promises.decide(LAHORE, shares, true).effectiveRule().activeVersion());
        assertEquals("one version for all of a query", 1, looks);
        agreed(EffectiveRule.Basis.CAREFUL, BOTH.replace("}", ",\"ask_again\":[\"fs1\"]}"));
        assertEquals(0, pruned().size());
        agreed(EffectiveRule.Basis.VERSION, BOTH.replace("\"fs1\",", ""));
        assertEquals(0, pruned().size());
        agreed(EffectiveRule.Basis.FALLBACK, BOTH);
        assertEquals("no lease, and nobody is left out, whatever a fallback gives", 0, pruned().size());
        agreed(EffectiveRule.Basis.VERSION, BOTH.replace("}", ",\"good_for.fs1\":1000}"));
        now += 999_000;
        assertEquals(1, pruned().size());
        now += 2_000;
        assertEquals(0, pruned().size());
    }

    @Test
    public void whileTwoVersionsHoldASiteIsLeftOutOnlyWhereEitherWould() throws Exception {
        var random = new Random(3);
        int allowed = 0;
        for (int i = 0; i < 20_000; i++) {
            RuleBody[] two = {body(random), body(random)};
            var met = new EffectiveRule(EffectiveRule.Basis.CAREFUL, 7, 8,
                    DocumentSchemas.SUMMARIES.meet(two[0], two[1]));
            long age = 1_000L * random.nextInt(4);
            if (PrunableSites.allow(met, "fs1", age)) {
                allowed++;
                for (RuleBody b : two) {
                    var alone = new EffectiveRule(EffectiveRule.Basis.VERSION, 7, 7, b);
                    assertTrue(two[0] + " " + two[1] + " " + age, PrunableSites.allow(alone, "fs1", age));
                }
                assertEquals("which of two counts is not known", two[0].text("summary.fs1"),
                        two[1].text("summary.fs1"));
            }
        }
        assertTrue("" + allowed, allowed > 500);
    }

    private static RuleBody body(Random random) throws Exception {
        var json = new StringBuilder("{\"summary.fs1\":\"").append(random.nextInt(2)).append('"');
        json.append(random.nextInt(4) > 0 ? ",\"prunable\":[\"fs1\"]" : "");
        json.append(random.nextInt(4) == 0 ? ",\"ask_again\":[\"fs1\"]" : "");
        json.append(random.nextBoolean() ? ",\"good_for.fs1\":" + random.nextInt(4) : "");
        return DocumentSchemas.SUMMARIES.parse(json.append('}').toString());
    }

    @Test
    public void aPromiseEndsByTheGatherersClockAndWithItsAddress() {
        hold("a:1");
        now += 5 * SECOND - 50_001; // counted no longer than the setting, less the margin, whatever the site says
        assertEquals(1, pruned().size());
        now++;
        assertEquals(0, pruned().size());
        long old = promises.beginRequest(SITE, "a:1");
        at("b:1", "fs1", "fs2");
        promises.acceptGrant(SITE, keeper.grantLease(now, "g", old));
        assertEquals("what the old address says counts no more", 0, pruned().size());
        assertEquals(-1, promises.beginRequest(SITE, "a:1"));
        hold("b:1");
        assertEquals(1, pruned().size());
        at("b:1", "fs2");
        assertEquals("gone from the inventory", 0, pruned().size());
    }

    @Test
    public void rowsProveASummaryWrongOnlyWhileItCounts() {
        hold("a:1");
        Pruning.PrunedShard cut = pruned().get(0);
        assertFalse("none", promises.reportProbe(cut, SITE, Long.MIN_VALUE, Long.MIN_VALUE, 0));
        assertFalse("newer data", promises.reportProbe(cut, SITE, 1, 2, 1));
        SummaryMaintainer.WriteDecision w = keeper.write(now, List.of(row("Multan")));
        assertEquals(2, promises.applyWidening(w.widening()));
        assertEquals("widened, and still without it", 1, pruned().size());
        assertFalse("it was widened since", promises.reportProbe(cut, SITE, Long.MIN_VALUE, Long.MIN_VALUE, 1));
        assertTrue(promises.reportProbe(pruned().get(0), SITE, Long.MIN_VALUE, Long.MIN_VALUE, 1));
        assertEquals("at once", 0, pruned().size());
        promises.runControlTasks();
        at("a:1", "fs2");
        at("a:1", "fs1", "fs2");
        hold("a:1");
        assertEquals("going and coming in the inventory mends nothing", 0, pruned().size());
        promises.updatePrunableSites(Set.of());
        promises.updatePrunableSites(Set.of("fs1"));
        hold("a:1");
        assertEquals("the operators' word does", 1, pruned().size());
        promises.applyWidening(new SiteMessage.Widening(SITE, 1, 2, 9, null));
        assertEquals("what it has now is not known", 0, pruned().size());
    }

    @Test
    public void newsIsReadWithDistrust() throws Exception {
        for (String bad : new String[] {"{}", "{\"widenings\":[1]}", "{\"widenings\":[{\"block\":\"b\",\"epoch\":1}]}",
            "{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":3}]}",
            "{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":4.5}]}"}) {
            assertThrows(bad, HttpProtocolException.class, () -> read(bad));
        }
        for (String rows : new String[] {"", ",\"rows\":\"*\"", ",\"rows\":\"" + "A".repeat(400) + "\""}) {
            assertEquals("what was held ends", null,
                    read("{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":4"
                            + rows + "}]}").get(0).rows());
        }
    }

    private static List<SiteMessage.Widening> read(String json) throws Exception {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return WideningMessages.read("fs1", new ByteSlice(bytes, 0, bytes.length), 200);
    }
}
