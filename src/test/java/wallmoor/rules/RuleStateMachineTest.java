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

    private static RuleProposal settings(RuleDocument parent, String author, int open) {
        return new RuleProposal("settings", parent == null ? 0 : parent.version(), parent == null ? "" : parent.hash(),
                author,
                "{\"limits.open\": " + open + "}", "{\"limits.open\": 1}");
    }

    private RuleEvent propose(RuleProposal p) {
        return stateMachine.apply(new LogEntry.ProposeVersion(p)).get(0);
    }

    private RuleDocument accepted(RuleProposal p) {
        RuleDocument d = ((RuleEvent.VersionPending) propose(p)).document();
        VOTERS.forEach(v -> stateMachine.apply(DocumentSchemas.verdict(v, DocumentSchemas.all(), d)));
        assertEquals(d, stateMachine.latestAccepted("settings"));
        return d;
    }

    private static ProposalRejection refused(RuleEvent e) {
        return ((RuleEvent.ProposalRejected) e).rejection();
    }

    @Example
    void ofTwoOnOneParentOneWinsAndTheOtherHearsWhich() {
        RuleDocument first = accepted(settings(null, "ann", 5));
        RuleProposal bobs = settings(first, "bob", 6);
        RuleDocument wins = ((RuleEvent.VersionPending) propose(bobs)).document();
        ProposalRejection cleos = refused(propose(settings(first, "cleo", 7)));
        assertEquals(new ProposalRejection(Reason.LOST, "settings", wins.version(), "bob", wins.hash()), cleos);
        assertEquals(new RuleEvent.VersionPending(wins), propose(bobs), "told twice it is still one");
        VOTERS.forEach(v -> stateMachine.apply(DocumentSchemas.verdict(v, DocumentSchemas.all(), wins)));
        assertEquals(Reason.LOST, refused(propose(settings(first, "cleo", 7))).reason());
        assertEquals(new RuleEvent.VersionAccepted(bobs.idempotencyKey(), wins), propose(bobs));
        RuleDocument back = accepted(RuleProposal.rollback(wins, first, "ann"));
        assertTrue(back.version() > wins.version() && back.body().equals(first.body()));
        assertEquals(Reason.OLD_PARENT, refused(propose(settings(first, "cleo", 9))).reason());
    }

    @Example
    void whatOneVotersProgramCannotReadIsRefusedByItsName() {
        RuleDocument first = accepted(settings(null, "ann", 5));
        RuleDocument next = ((RuleEvent.VersionPending) propose(settings(first, "bob", 6))).document();
        stateMachine.apply(DocumentSchemas.verdict("a", DocumentSchemas.all(), next));
        ProposalRejection why = refused(stateMachine.apply(DocumentSchemas.verdict("b", new HashMap<>(), next)).get(0));
        assertEquals(Reason.UNREADABLE, why.reason());
        assertTrue(why.message().startsWith("b cannot read settings 2"), why.message());
        assertEquals(first, stateMachine.latestAccepted("settings"));
        RuleDocument again = ((RuleEvent.VersionPending) propose(settings(first, "cleo", 7))).document();
        assertEquals(3, again.version(), "a number that was refused is not given again");
        assertEquals(List.of(), stateMachine.apply(DocumentSchemas.verdict("c", DocumentSchemas.all(), next)),
                "a late verdict does nothing");
        assertEquals(List.of(), stateMachine.apply(DocumentSchemas.verdict("x", DocumentSchemas.all(), again)),
                "nor that of one who has no vote");
        stateMachine.apply(new LogEntry.LeaderElected("a", 1));
        assertEquals("a, b, c",
                refused(stateMachine.apply(new LogEntry.CloseVerdicts(1, "settings", 3)).get(0)).opponent());
        RuleDocument last = ((RuleEvent.VersionPending) propose(settings(first, "cleo", 7))).document();
        stateMachine.apply(DocumentSchemas.verdict("a", DocumentSchemas.all(), last));
        stateMachine.apply(DocumentSchemas.verdict("c", DocumentSchemas.all(), last));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.CloseVerdicts(0, "settings", last.version())),
                "of an older leader");
        assertEquals(List.of(new RuleEvent.VersionAccepted(last.proposal().idempotencyKey(), last)),
                stateMachine.apply(new LogEntry.CloseVerdicts(1, "settings", 4)));
    }

    @Example
    void onlyTheLeaderLetsActAndNothingGoesBack() {
        RuleDocument first = accepted(settings(null, "ann", 5));
        stateMachine.apply(new LogEntry.LeaderElected("a", 1));
        stateMachine.apply(new LogEntry.LeaderElected("b", 1));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.ActivateVersion(1, "settings", first.version())));
        assertEquals(1, stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", first.version())).size());
        RuleDocument head = first;
        for (int i = 0; i < RuleStateMachine.MAX_INACTIVE_VERSIONS; i++) {
            head = accepted(settings(head, "ann", 10 + i));
        }
        assertEquals(Reason.BUSY, refused(propose(settings(head, "ann", 99))).reason());
        stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", head.version()));
        assertEquals(List.of(), stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", first.version())));
        assertEquals(new VersionChain("settings", head.version(), head.version(), List.of(head)),
                stateMachine.chain("settings"));
        for (int i = 0; i < 100; i++) {
            head = accepted(settings(head, "ann", i + 1));
            stateMachine.apply(new LogEntry.ActivateVersion(2, "settings", head.version()));
        }
        assertEquals(33, stateMachine.history("settings").size(), "the history is bounded");
        assertEquals(Reason.MALFORMED,
                refused(propose(new RuleProposal("Bad Name", 0, "", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED, refused(propose(new RuleProposal("plan", 4, "00", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED, refused(propose(new RuleProposal("plan", 0, "", " ", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED,
                refused(propose(
                        new RuleProposal("plan", 0, "", "me", "x".repeat(RuleStateMachine.MAX_BODY_CHARS + 1), "{}")))
                        .reason());
    }

    /** Any entries, in any order: two state machines come to the same, also where one was restored on the way. */
    @Property(tries = 200, seed = "2")
    void equalEntriesGiveEqualStates(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        var stateMachine = new RuleStateMachine(VOTERS);
        var other = new RuleStateMachine(VOTERS);
        long last = 0;
        for (int i = 0; i < 60; i++) {
            RuleDocument head = stateMachine.latestAccepted("settings");
            RuleDocument pending = stateMachine.pending("settings");
            var choices = new ArrayList<LogEntry>(List.of(
                    new LogEntry.ProposeVersion(
                            settings(random.nextInt(4) == 0 ? null : head, "ann", random.nextInt(9))),
                    new LogEntry.LeaderElected(VOTERS.get(random.nextInt(3)), i),
                    new LogEntry.ActivateVersion(stateMachine.leaderEpoch(), "settings", last),
                    new LogEntry.ActivateVersion(stateMachine.leaderEpoch() - 1, "settings", last)));
            if (pending != null) {
                for (String v : VOTERS) {
                    choices.add(DocumentSchemas.verdict(v,
                            random.nextInt(9) == 0 ? new HashMap<>() : DocumentSchemas.all(), pending));
                }
                choices.add(new LogEntry.CloseVerdicts(stateMachine.leaderEpoch(), "settings", pending.version()));
            }
            LogEntry entry = choices.get(random.nextInt(choices.size()));
            byte[] bytes = LogEntryCodec.encode(entry);
            assertEquals(entry, LogEntryCodec.decode(bytes));
            List<RuleEvent> effects = stateMachine.apply(entry);
            assertEquals(effects, other.apply(LogEntryCodec.decode(bytes)));
            other = RuleStateMachine.restoreSnapshot(VOTERS, other.takeSnapshot());
            assertArrayEquals(stateMachine.takeSnapshot(), other.takeSnapshot());
            long now = stateMachine.latestAccepted("settings") == null ? 0
                    : stateMachine.latestAccepted("settings").version();
            assertTrue(now >= last && stateMachine.activeVersion("settings") <= now, "a number went back");
            last = now;
        }
        byte[] saved = stateMachine.takeSnapshot();
        for (int cut = 0; cut < saved.length; cut++) {
            byte[] torn = Arrays.copyOf(saved, cut);
            assertThrows(CorruptDataException.class, () -> RuleStateMachine.restoreSnapshot(VOTERS, torn));
        }
    }
}
