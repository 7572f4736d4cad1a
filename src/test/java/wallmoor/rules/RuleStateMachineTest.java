package wallmoor.rules;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wallmoor.rules.ProposalRejection.Reason;

class RuleStateMachineTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private final RuleStateMachine stateMachine = new RuleStateMachine(VOTERS);

    private static RuleProposal settings(RuleDocument parent, String author, int limit) {
        return new RuleProposal("settings", parent == null ? 0 : parent.version(), parent == null ? "" : parent.hash(),
                author,
                "{\"limits.open\": " + limit + "}", "{\"limits.open\": 1}");
    }

    private RuleEvent propose(RuleProposal proposal) {
        return stateMachine.apply(new LogEntry.ProposeVersion(proposal)).get(0);
    }

    private RuleDocument proposeAndAccept(RuleProposal proposal) {
        RuleDocument document = ((RuleEvent.VersionPending) propose(proposal)).document();
        VOTERS.forEach(v -> stateMachine.apply(DocumentSchemas.verdict(v, DocumentSchemas.all(), document)));
        assertEquals(document, stateMachine.latestAccepted("settings"));
        return document;
    }

    private static ProposalRejection rejection(RuleEvent event) {
        return ((RuleEvent.ProposalRejected) event).rejection();
    }

    @Example
    void rejectsSecondProposalOnSameParentAndNamesTheWinner() {
        RuleDocument first = proposeAndAccept(settings(null, "ann", 5));
        RuleProposal bobs = settings(first, "bob", 6);
        RuleDocument winner = ((RuleEvent.VersionPending) propose(bobs)).document();
        ProposalRejection cleos = rejection(propose(settings(first, "cleo", 7)));
        assertEquals(new ProposalRejection(Reason.LOST, "settings", winner.version(), "bob", winner.hash()), cleos);
        assertEquals(new RuleEvent.VersionPending(winner), propose(bobs), "a repeated proposal stays one version");
        VOTERS.forEach(v -> stateMachine.apply(DocumentSchemas.verdict(v, DocumentSchemas.all(), winner)));
        assertEquals(Reason.LOST, rejection(propose(settings(first, "cleo", 7))).reason());
        assertEquals(new RuleEvent.VersionAccepted(bobs.idempotencyKey(), winner), propose(bobs));
        RuleDocument rollback = proposeAndAccept(RuleProposal.rollback(winner, first, "ann"));
        assertTrue(rollback.version() > winner.version() && rollback.body().equals(first.body()));
        assertEquals(Reason.OLD_PARENT, rejection(propose(settings(first, "cleo", 9))).reason());
    }

    @Example
    void rejectsVersionThatOneVoterCannotReadAndNamesTheVoter() {
        RuleDocument first = proposeAndAccept(settings(null, "ann", 5));
        RuleDocument next = ((RuleEvent.VersionPending) propose(settings(first, "bob", 6))).document();
        stateMachine.apply(DocumentSchemas.verdict("a", DocumentSchemas.all(), next));
        ProposalRejection unreadable = rejection(
                stateMachine.apply(DocumentSchemas.verdict("b", new HashMap<>(), next)).get(0));
        assertEquals(Reason.UNREADABLE, unreadable.reason());
        assertTrue(unreadable.message().startsWith("b cannot read settings 2"), unreadable.message());
        assertEquals(first, stateMachine.latestAccepted("settings"));
        RuleDocument again = ((RuleEvent.VersionPending) propose(settings(first, "cleo", 7))).document();
        assertEquals(3, again.version(), "the number of a rejected version is not assigned again");
        assertEquals(List.of(), stateMachine.apply(DocumentSchemas.verdict("c", DocumentSchemas.all(), next)),
                "a late verdict changes nothing");
        assertEquals(List.of(), stateMachine.apply(DocumentSchemas.verdict("x", DocumentSchemas.all(), again)),
                "a verdict of an unknown voter changes nothing");
        stateMachine.apply(new LogEntry.LeaderElected("a", 1));
        assertEquals("a, b, c",
                rejection(stateMachine.apply(new LogEntry.CloseVerdicts(1, "settings", 3)).get(0)).blockedBy());
        RuleDocument last = ((RuleEvent.VersionPending) propose(settings(first, "cleo", 7))).document();
        stateMachine.apply(DocumentSchemas.verdict("a", DocumentSchemas.all(), last));
        stateMachine.apply(DocumentSchemas.verdict("c", DocumentSchemas.all(), last));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.CloseVerdicts(0, "settings", last.version())),
                "an entry of an older leader changes nothing");
        assertEquals(List.of(new RuleEvent.VersionAccepted(last.proposal().idempotencyKey(), last)),
                stateMachine.apply(new LogEntry.CloseVerdicts(1, "settings", 4)));
    }

    @Example
    void onlyCurrentLeaderActivatesVersionsAndVersionsNeverDecrease() {
        RuleDocument first = proposeAndAccept(settings(null, "ann", 5));
        stateMachine.apply(new LogEntry.LeaderElected("a", 1));
        stateMachine.apply(new LogEntry.LeaderElected("b", 1));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.ActivateVersion(1, "settings", first.version())));
        assertEquals(1, stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", first.version())).size());
        RuleDocument latest = first;
        for (int i = 0; i < RuleStateMachine.MAX_INACTIVE_VERSIONS; i++) {
            latest = proposeAndAccept(settings(latest, "ann", 10 + i));
        }
        assertEquals(Reason.BUSY, rejection(propose(settings(latest, "ann", 99))).reason());
        stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", latest.version()));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", first.version())));
        assertEquals(new VersionChain("settings", latest.version(), latest.version(), List.of(latest)),
                stateMachine.chain("settings"));
        for (int i = 0; i < 100; i++) {
            latest = proposeAndAccept(settings(latest, "ann", i + 1));
            stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", latest.version()));
        }
        assertEquals(33, stateMachine.history("settings").size(), "the history is bounded");
        assertEquals(Reason.MALFORMED,
                rejection(propose(new RuleProposal("Bad Name", 0, "", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED,
                rejection(propose(new RuleProposal("plan", 4, "00", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED, rejection(propose(new RuleProposal("plan", 0, "", " ", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED,
                rejection(propose(
                        new RuleProposal("plan", 0, "", "me", "x".repeat(RuleStateMachine.MAX_BODY_CHARS + 1), "{}")))
                        .reason());
    }

    /** Applies random entries to two state machines, one of which is restored from a snapshot after each entry. */
    @Property(tries = 200, seed = "2")
    void equalEntriesGiveEqualStates(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        var stateMachine = new RuleStateMachine(VOTERS);
        var restored = new RuleStateMachine(VOTERS);
        long lastAccepted = 0;
        for (int i = 0; i < 60; i++) {
            RuleDocument latest = stateMachine.latestAccepted("settings");
            RuleDocument pending = stateMachine.pending("settings");
            var choices = new ArrayList<LogEntry>(List.of(
                    new LogEntry.ProposeVersion(
                            settings(random.nextInt(4) == 0 ? null : latest, "ann", random.nextInt(9))),
                    new LogEntry.LeaderElected(VOTERS.get(random.nextInt(3)), i),
                    new LogEntry.ActivateVersion(stateMachine.leaderEpoch(), "settings", lastAccepted),
                    new LogEntry.ActivateVersion(stateMachine.leaderEpoch() - 1, "settings", lastAccepted)));
            if (pending != null) {
                for (String voter : VOTERS) {
                    choices.add(DocumentSchemas.verdict(voter,
                            random.nextInt(9) == 0 ? new HashMap<>() : DocumentSchemas.all(), pending));
                }
                choices.add(new LogEntry.CloseVerdicts(stateMachine.leaderEpoch(), "settings", pending.version()));
            }
            LogEntry entry = choices.get(random.nextInt(choices.size()));
            byte[] bytes = LogEntryCodec.encode(entry);
            assertEquals(entry, LogEntryCodec.decode(bytes));
            List<RuleEvent> events = stateMachine.apply(entry);
            assertEquals(events, restored.apply(LogEntryCodec.decode(bytes)));
            restored = RuleStateMachine.restoreSnapshot(VOTERS, restored.takeSnapshot());
            assertArrayEquals(stateMachine.takeSnapshot(), restored.takeSnapshot());
            long accepted = stateMachine.latestAccepted("settings") == null ? 0
                    : stateMachine.latestAccepted("settings").version();
            assertTrue(accepted >= lastAccepted && stateMachine.activeVersion("settings") <= accepted,
                    "version numbers never decrease");
            lastAccepted = accepted;
        }
        byte[] snapshot = stateMachine.takeSnapshot();
        for (int cut = 0; cut < snapshot.length; cut++) {
            byte[] truncated = Arrays.copyOf(snapshot, cut);
            assertThrows(CorruptDataException.class, () -> RuleStateMachine.restoreSnapshot(VOTERS, truncated));
        }
    }
}
