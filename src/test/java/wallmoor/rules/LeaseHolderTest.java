package wallmoor.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/** Both sides by hand: what a gatherer goes by, and whom a leader gives a lease. */
class LeaseHolderTest {
    private static final LeaseTiming TERMS = LeaseTiming.defaults();
    private static final RuleDocument ONE = RuleDocument
            .of(new RuleProposal("settings", 0, "", "ann", "{\"limits.open\": 5}", "{\"limits.open\": 1}"), 1);
    private static final RuleDocument TWO = RuleDocument
            .of(new RuleProposal("settings", 1, ONE.hash(), "ann", "{\"limits.open\": 9, \"new\": 1}", "{}"), 2);
    private static final VersionChain FIRST = new VersionChain("settings", 1, 1, List.of(ONE));
    private static final VersionChain BOTH = new VersionChain("settings", 1, 2, List.of(ONE, TWO));

    private static LeaseHolder holder(List<VersionChain> kept) {
        return new LeaseHolder("h", 7, TERMS, DocumentSchemas.all(), kept);
    }

    private static EffectiveRule.Basis basis(LeaseHolder holder, long now) {
        return holder.snapshot().effectiveRule(now, "settings").basis();
    }

    @Example
    void aLeaseCountsFromTheAskAndIsOverOnTheDot() {
        LeaseHolder holder = holder(List.of(FIRST));
        assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 0), "what was kept, by one that may not be sure");
        LeaseRequest ask = holder.onTick(0);
        assertNull(holder.onTick(TERMS.renewalInterval() - 1));
        assertNotNull(holder.onTick(TERMS.renewalInterval()));
        holder.onGrant(3_000_000, new LeaseGrant("h", 6, ask.sequence(), List.of(FIRST)));
        assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 3_000_000), "the grant of another process");
        holder.onGrant(3_000_000, new LeaseGrant("h", 7, ask.sequence(), List.of(FIRST)));
        RuleSnapshot read = holder.snapshot();
        assertEquals(EffectiveRule.Basis.VERSION, read.effectiveRule(TERMS.holderDuration() - 1, "settings").basis());
        assertEquals(EffectiveRule.Basis.FALLBACK, read.effectiveRule(TERMS.holderDuration(), "settings").basis(),
                "one that wakes with an old snapshot");
        assertEquals(EffectiveRule.Basis.NONE, read.effectiveRule(0, "plan").basis());
        RuleBody queries = read.effectiveRule(4_000_000, "settings").body();
        assertSame(queries, read.effectiveRule(4_000_001, "settings").body(), "nothing is made anew for each query");
    }

    @Example
    void whatItsProgramCannotReadItDoesNotActOnAndSaysSo() {
        LeaseHolder holder = holder(List.of());
        LeaseRequest ask = holder.onTick(0);
        assertNotNull(holder.onGrant(1, new LeaseGrant("h", 7, ask.sequence(), List.of(FIRST))),
                "it tells at once what it knows now");
        LeaseRequest told = holder.onVersionUpdate(2, new VersionUpdate(List.of(BOTH)));
        assertEquals(2, told.knownVersions().get("settings").version());
        assertEquals(
                new EffectiveRule(EffectiveRule.Basis.FALLBACK, 1, 2,
                        new RuleBody(new java.util.TreeMap<>(Map.of("limits.open", new FieldValue.Amount(1))))),
                holder.snapshot().effectiveRule(3, "settings"));
        assertTrue(
                holder.invalidDocuments().get("settings")
                        .startsWith("h cannot read settings 2: settings: new is no field"));
        assertEquals(List.of(BOTH), holder(holder.knownVersions()).knownVersions(), "what is kept is what was known");
    }

    @Example
    void whatDoesNotFollowGivesNoLease() {
        RuleDocument other = RuleDocument.of(new RuleProposal("settings", 0, "", "eve", "{\"limits.open\": 99}", "{}"),
                1);
        RuleDocument forged = new RuleDocument("settings", 2, 1, ONE.hash(), "eve", "{}", "{}", TWO.hash());
        for (VersionChain bad : List.of(
                new VersionChain("settings", 1, 2,
                        List.of(other, RuleDocument.of(new RuleProposal("settings", 1, other.hash(), "eve",
                                "{}", "{}"), 2))),
                new VersionChain("settings", 1, 2, List.of(ONE, forged)),
                new VersionChain("settings", 2, 3, List.of()))) {
            LeaseHolder holder = holder(List.of(FIRST));
            holder.onGrant(1, new LeaseGrant("h", 7, holder.onTick(0).sequence(), List.of(bad)));
            assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 1), bad.toString());
            assertTrue(holder.denialReason().startsWith("what came of settings"));
        }
    }

    /** Voters that lost all they kept give no lease to one that knows what they don't: numbers would begin anew. */
    @Example
    void votersThatLostTheirFilesGiveNoLease() {
        var stateMachine = new RuleStateMachine(List.of("a"));
        var sent = new ArrayList<LeaseMessage>();
        var barriers = new ArrayList<Long>();
        var entries = new ArrayList<LogEntry>();
        var leaseTable = new LeaseTable("a", 1, TERMS, stateMachine, new LeaseTable.Actions() {
            @Override
            public void send(String holder, LeaseMessage message) {
                sent.add(message);
            }

            @Override
            public void append(LogEntry entry) {
                entries.add(entry);
            }

            @Override
            public void startBarrier(long token) {
                barriers.add(token);
            }
        });
        LeaseHolder knows = holder(List.of(FIRST));
        LeaseRequest early = knows.onTick(0);
        leaseTable.onLeaseRequest(0, early);
        assertEquals(List.of(), barriers, "it does not lead");
        leaseTable.onElectionChanged(0, true);
        assertEquals(List.of(new LogEntry.LeaderElected("a", 1)), entries);
        leaseTable.onApplied(0, stateMachine.apply(entries.get(0)));
        leaseTable.onLeaseRequest(1, early);
        assertEquals(List.of(), sent, "not before the barrier is back");
        leaseTable.onBarrier(2, barriers.get(0));
        knows.onDenial((LeaseMessage.LeaseDenial) sent.get(0));
        assertTrue(knows.denialReason().contains("put their files back"), knows.denialReason());
        LeaseHolder fresh = new LeaseHolder("i", 1, TERMS, DocumentSchemas.all(), List.of());
        LeaseRequest ask = fresh.onTick(2);
        leaseTable.onLeaseRequest(3, ask);
        leaseTable.onLeaseRequest(3, ask);
        leaseTable.onBarrierFailed(4, barriers.get(1));
        assertEquals(1, sent.size(), "no lease by a barrier that failed");
        leaseTable.onLeaseRequest(5, fresh.onTick(2 + TERMS.renewalInterval()));
        leaseTable.onBarrier(6, barriers.get(2));
        assertEquals(new LeaseGrant("i", 1, 2, List.of()), sent.get(1));
        assertEquals(5 + TERMS.grantorWait(), leaseTable.latestExpiry());
    }
}
