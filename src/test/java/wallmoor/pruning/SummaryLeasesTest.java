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

/** Tests which sites may be pruned, by rule, address and lease, and which probe results prove a summary wrong. */
public class SummaryLeasesTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String BOTH_PRUNABLE = "{\"prunable\":[\"fs1\",\"fs2\"],"
            + "\"summary.fs1\":\"1\",\"summary.fs2\":\"1\"}";
    private static final Site SITE = new Site("fs1", "rows-0");
    private static final Conditions LAHORE = new Conditions(null, null, List.of(Condition.equal("city", "Lahore")));
    private long now = SECOND_MICROS;
    private EffectiveRule rule;
    private int ruleReads;
    private final SummariesConfig config = new SummariesConfig(Set.of("fs1"), 5000, 50, 100, 0, 0, 0, 65536, 1 << 20);
    private SummaryLeases leases = new SummaryLeases(config, "g", () -> now, RuleReader.NONE);
    private final SummaryMaintainer maintainer;

    public SummaryLeasesTest() {
        var builder = new SummaryBuilder(SummaryLimits.defaults(), SITE.name(), SITE.block(), 1);
        builder.add(row("Karachi"));
        maintainer = new SummaryMaintainer(SummaryLimits.defaults(), SITE, 1, builder, now, 60 * SECOND_MICROS, true);
        setServers("a:1", "fs1", "fs2");
    }

    private static Row row(String city) {
        return new Row(Map.of("city", city), null, null);
    }

    private void setServers(String address, String... names) {
        leases.updateServers(List.of(names).stream()
                .map(n -> new SummaryLeases.SummaryServer(n, address, Set.of("rows-0"))).toList());
    }

    private void acquireLease(String address) {
        leases.acceptGrant(SITE, maintainer.grantLease(now, "g", leases.beginRequest(SITE, address)));
    }

    private List<Pruning.PrunedShard> pruned() {
        return leases.decide(LAHORE, List.of(new Pruning.Share(0, List.of(SITE))), true).decision().pruned();
    }

    private void setRule(EffectiveRule.Basis basis, String body) throws Exception {
        rule = new EffectiveRule(basis, 7, basis == EffectiveRule.Basis.CAREFUL ? 8 : 7,
                DocumentSchemas.SUMMARIES.parse(body));
    }

    @Test
    public void prunesOnlySitesOfRuleInEffect() throws Exception {
        acquireLease("a:1");
        assertEquals("without an agreement the list of the file applies", 1, pruned().size());
        assertNull(leases.decide(LAHORE, List.of(), true).effectiveRule());
        leases = new SummaryLeases(config, "g", () -> now, name -> {
            ruleReads++;
            return name.equals("summaries") ? rule : null;
        });
        setServers("a:1", "fs1", "fs2");
        acquireLease("a:1");
        rule = RuleReader.NONE.effectiveRule("summaries");
        assertEquals("with an agreement the list of the file does not apply", 0, pruned().size());
        setRule(EffectiveRule.Basis.VERSION, BOTH_PRUNABLE);
        assertEquals(1, pruned().size());
        ruleReads = 0;
        var shares = List.of(new Pruning.Share(0, List.of(SITE)), new Pruning.Share(1, List.of(SITE)));
        assertEquals(7, leases.decide(LAHORE, shares, true).effectiveRule().activeVersion());
        assertEquals("one version for the entire query", 1, ruleReads);
        setRule(EffectiveRule.Basis.CAREFUL, BOTH_PRUNABLE.replace("}", ",\"ask_again\":[\"fs1\"]}"));
        assertEquals(0, pruned().size());
        setRule(EffectiveRule.Basis.VERSION, BOTH_PRUNABLE.replace("\"fs1\",", ""));
        assertEquals(0, pruned().size());
        setRule(EffectiveRule.Basis.FALLBACK, BOTH_PRUNABLE);
        assertEquals("a fallback allows no pruning", 0, pruned().size());
        setRule(EffectiveRule.Basis.VERSION, BOTH_PRUNABLE.replace("}", ",\"good_for.fs1\":1000}"));
        now += 999_000;
        assertEquals(1, pruned().size());
        now += 2_000;
        assertEquals(0, pruned().size());
    }

    @Test
    public void mergedVersionsPruneOnlySitesThatEachAllows() throws Exception {
        var random = new Random(3);
        int allowed = 0;
        for (int i = 0; i < 20_000; i++) {
            RuleBody[] versions = {body(random), body(random)};
            var merged = new EffectiveRule(EffectiveRule.Basis.CAREFUL, 7, 8,
                    DocumentSchemas.SUMMARIES.meet(versions[0], versions[1]));
            long age = 1_000L * random.nextInt(4);
            if (PrunableSites.allow(merged, "fs1", age)) {
                allowed++;
                for (RuleBody b : versions) {
                    var single = new EffectiveRule(EffectiveRule.Basis.VERSION, 7, 7, b);
                    assertTrue(versions[0] + " " + versions[1] + " " + age, PrunableSites.allow(single, "fs1", age));
                }
                assertEquals("pruned only if both versions have the same summary", versions[0].text("summary.fs1"),
                        versions[1].text("summary.fs1"));
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
    public void leaseEndsByGatherersClockAndOnAddressChange() {
        acquireLease("a:1");
        now += 5 * SECOND_MICROS - 50_001; // the configured lifetime less the margin, although the site grants more
        assertEquals(1, pruned().size());
        now++;
        assertEquals(0, pruned().size());
        long oldTicket = leases.beginRequest(SITE, "a:1");
        setServers("b:1", "fs1", "fs2");
        leases.acceptGrant(SITE, maintainer.grantLease(now, "g", oldTicket));
        assertEquals("a grant from the old address is not accepted", 0, pruned().size());
        assertEquals(-1, leases.beginRequest(SITE, "a:1"));
        acquireLease("b:1");
        assertEquals(1, pruned().size());
        setServers("b:1", "fs2");
        assertEquals("removed from the inventory", 0, pruned().size());
    }

    @Test
    public void rowsDisproveSummaryOnlyWhileLeased() {
        acquireLease("a:1");
        Pruning.PrunedShard excluded = pruned().get(0);
        assertFalse("no rows", leases.reportProbe(excluded, SITE, Long.MIN_VALUE, Long.MIN_VALUE, 0));
        assertFalse("newer data", leases.reportProbe(excluded, SITE, 1, 2, 1));
        SummaryMaintainer.WriteDecision write = maintainer.write(now, List.of(row("Multan")));
        assertEquals(2, leases.applyWidening(write.widening()));
        assertEquals("widened, but the query is still excluded", 1, pruned().size());
        assertFalse("widened since the decision",
                leases.reportProbe(excluded, SITE, Long.MIN_VALUE, Long.MIN_VALUE, 1));
        assertTrue(leases.reportProbe(pruned().get(0), SITE, Long.MIN_VALUE, Long.MIN_VALUE, 1));
        assertEquals("pruning stops at once", 0, pruned().size());
        leases.runControlTasks();
        setServers("a:1", "fs2");
        setServers("a:1", "fs1", "fs2");
        acquireLease("a:1");
        assertEquals("a return to the inventory does not restore trust", 0, pruned().size());
        leases.updatePrunableSites(Set.of());
        leases.updatePrunableSites(Set.of("fs1"));
        acquireLease("a:1");
        assertEquals("a return to the operators' list restores trust", 1, pruned().size());
        leases.applyWidening(new SiteMessage.Widening(SITE, 1, 2, 9, null));
        assertEquals("dropped by a widening without rows", 0, pruned().size());
    }

    @Test
    public void rejectsMalformedWidenings() throws Exception {
        for (String bad : new String[] {"{}", "{\"widenings\":[1]}", "{\"widenings\":[{\"block\":\"b\",\"epoch\":1}]}",
            "{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":3}]}",
            "{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":4.5}]}"}) {
            assertThrows(bad, HttpProtocolException.class, () -> read(bad));
        }
        for (String rows : new String[] {"", ",\"rows\":\"*\"", ",\"rows\":\"" + "A".repeat(400) + "\""}) {
            assertEquals("rows that can't be decoded are null", null,
                    read("{\"widenings\":[{\"block\":\"b\",\"epoch\":1,\"from\":3,\"to\":4"
                            + rows + "}]}").get(0).rows());
        }
    }

    private static List<SiteMessage.Widening> read(String json) throws Exception {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return WideningMessages.read("fs1", new ByteSlice(bytes, 0, bytes.length), 200);
    }
}
