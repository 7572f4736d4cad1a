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

/** Tests which rules a lease holder applies, and to which holders a leader grants leases. */
class LeaseHolderTest {
    private static final LeaseTiming TIMING = LeaseTiming.defaults();
    private static final RuleDocument VERSION_1 = RuleDocument
            .of(new RuleProposal("settings", 0, "", "ann", "{\"limits.open\": 5}", "{\"limits.open\": 1}"), 1);
    private static final RuleDocument VERSION_2 = RuleDocument
            .of(new RuleProposal("settings", 1, VERSION_1.hash(), "ann", "{\"limits.open\": 9, \"new\": 1}", "{}"), 2);
    private static final VersionChain CHAIN_OF_1 = new VersionChain("settings", 1, 1, List.of(VERSION_1));
    private static final VersionChain CHAIN_OF_2 = new VersionChain("settings", 1, 2, List.of(VERSION_1, VERSION_2));

    private static LeaseHolder holder(List<VersionChain> stored) {
        return new LeaseHolder("h", 7, TIMING, DocumentSchemas.all(), stored);
    }

    private static EffectiveRule.Basis basis(LeaseHolder holder, long now) {
        return holder.snapshot().effectiveRule(now, "settings").basis();
    }

    @Example
    void leaseCountsFromRequestAndEndsAtItsExpiry() {
        LeaseHolder holder = holder(List.of(CHAIN_OF_1));
        assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 0),
                "stored versions give the fallback until a lease is granted");
        LeaseRequest request = holder.onTick(0);
        assertNull(holder.onTick(TIMING.renewalInterval() - 1));
        assertNotNull(holder.onTick(TIMING.renewalInterval()));
        holder.onGrant(3_000_000, new LeaseGrant("h", 6, request.sequence(), List.of(CHAIN_OF_1)));
        assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 3_000_000), "a grant for another process is ignored");
        holder.onGrant(3_000_000, new LeaseGrant("h", 7, request.sequence(), List.of(CHAIN_OF_1)));
        RuleSnapshot snapshot = holder.snapshot();
        assertEquals(EffectiveRule.Basis.VERSION,
                snapshot.effectiveRule(TIMING.holderDuration() - 1, "settings").basis());
        assertEquals(EffectiveRule.Basis.FALLBACK, snapshot.effectiveRule(TIMING.holderDuration(), "settings").basis(),
                "an old snapshot gives the fallback after the expiry");
        assertEquals(EffectiveRule.Basis.NONE, snapshot.effectiveRule(0, "plan").basis());
        RuleBody body = snapshot.effectiveRule(4_000_000, "settings").body();
        assertSame(body, snapshot.effectiveRule(4_000_001, "settings").body(), "each read returns the same body");
    }

    @Example
    void appliesFallbackAndReportsVersionItCannotRead() {
        LeaseHolder holder = holder(List.of());
        LeaseRequest request = holder.onTick(0);
        assertNotNull(holder.onGrant(1, new LeaseGrant("h", 7, request.sequence(), List.of(CHAIN_OF_1))),
                "reports the newly known version at once");
        LeaseRequest report = holder.onVersionUpdate(2, new VersionUpdate(List.of(CHAIN_OF_2)));
        assertEquals(2, report.knownVersions().get("settings").version());
        assertEquals(
                new EffectiveRule(EffectiveRule.Basis.FALLBACK, 1, 2,
                        new RuleBody(new java.util.TreeMap<>(Map.of("limits.open", new FieldValue.Amount(1))))),
                holder.snapshot().effectiveRule(3, "settings"));
        assertTrue(
                holder.invalidDocuments().get("settings")
                        .startsWith("h cannot read settings 2: settings: new is not a field"));
        assertEquals(List.of(CHAIN_OF_2), holder(holder.knownVersions()).knownVersions(),
                "a holder restores the stored versions");
    }

    @Example
    void ignoresLeaseWithVersionsThatDoNotContinueKnownOnes() {
        RuleDocument other = RuleDocument.of(new RuleProposal("settings", 0, "", "eve", "{\"limits.open\": 99}", "{}"),
                1);
        RuleDocument forged = new RuleDocument("settings", 2, 1, VERSION_1.hash(), "eve", "{}", "{}", VERSION_2.hash());
        for (VersionChain invalid : List.of(
                new VersionChain("settings", 1, 2,
                        List.of(other, RuleDocument.of(new RuleProposal("settings", 1, other.hash(), "eve",
                                "{}", "{}"), 2))),
                new VersionChain("settings", 1, 2, List.of(VERSION_1, forged)),
                new VersionChain("settings", 2, 3, List.of()))) {
            LeaseHolder holder = holder(List.of(CHAIN_OF_1));
            holder.onGrant(1, new LeaseGrant("h", 7, holder.onTick(0).sequence(), List.of(invalid)));
            assertEquals(EffectiveRule.Basis.FALLBACK, basis(holder, 1), invalid.toString());
            assertTrue(holder.denialReason().startsWith("the leader's versions of settings"));
        }
    }

    /**
     * Voters that lost their stored data would assign known version numbers again, so they must not grant a lease to a
     * holder that knows a lost version.
     */
    @Example
    void deniesLeaseToHolderThatKnowsLostVersion() {
        var stateMachine = new RuleStateMachine(List.of("a"));
        var sent = new ArrayList<LeaseMessage>();
        var barriers = new ArrayList<Long>();
        var entries = new ArrayList<LogEntry>();
        var leaseTable = new LeaseTable("a", 1, TIMING, stateMachine, new LeaseTable.Actions() {
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
        LeaseHolder informed = holder(List.of(CHAIN_OF_1));
        LeaseRequest early = informed.onTick(0);
        leaseTable.onLeaseRequest(0, early);
        assertEquals(List.of(), barriers, "a voter that is not the leader starts no barrier");
        leaseTable.onElectionChanged(0, true);
        assertEquals(List.of(new LogEntry.LeaderElected("a", 1)), entries);
        leaseTable.onApplied(0, stateMachine.apply(entries.get(0)));
        leaseTable.onLeaseRequest(1, early);
        assertEquals(List.of(), sent, "no response before the barrier succeeds");
        leaseTable.onBarrier(2, barriers.get(0));
        informed.onDenial((LeaseMessage.LeaseDenial) sent.get(0));
        assertTrue(informed.denialReason().contains("restore the voters' files"), informed.denialReason());
        LeaseHolder fresh = new LeaseHolder("i", 1, TIMING, DocumentSchemas.all(), List.of());
        LeaseRequest request = fresh.onTick(2);
        leaseTable.onLeaseRequest(3, request);
        leaseTable.onLeaseRequest(3, request);
        leaseTable.onBarrierFailed(4, barriers.get(1));
        assertEquals(1, sent.size(), "a failed barrier grants no lease");
        leaseTable.onLeaseRequest(5, fresh.onTick(2 + TIMING.renewalInterval()));
        leaseTable.onBarrier(6, barriers.get(2));
        assertEquals(new LeaseGrant("i", 1, 2, List.of()), sent.get(1));
        assertEquals(5 + TIMING.grantorWait(), leaseTable.latestExpiry());
    }
}
