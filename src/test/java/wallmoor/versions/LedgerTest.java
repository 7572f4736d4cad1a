package wallmoor.versions;

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
import wallmoor.versions.Refusal.Reason;

class LedgerTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private final Ledger ledger = new Ledger(VOTERS);

    private static Proposal settings(Document parent, String author, int open) {
        return new Proposal("settings", parent == null ? 0 : parent.number(), parent == null ? "" : parent.hash(),
                author,
                "{\"limits.open\": " + open + "}", "{\"limits.open\": 1}");
    }

    private Effect propose(Proposal p) {
        return ledger.apply(new Entry.Propose(p)).get(0);
    }

    private Document accepted(Proposal p) {
        Document d = ((Effect.Pending) propose(p)).document();
        VOTERS.forEach(v -> ledger.apply(Kinds.verdict(v, Kinds.all(), d)));
        assertEquals(d, ledger.head("settings"));
        return d;
    }

    private static Refusal refused(Effect e) {
        return ((Effect.Refused) e).why();
    }

    @Example
    void ofTwoOnOneParentOneWinsAndTheOtherHearsWhich() {
        Document first = accepted(settings(null, "ann", 5));
        Proposal bobs = settings(first, "bob", 6);
        Document wins = ((Effect.Pending) propose(bobs)).document();
        Refusal cleos = refused(propose(settings(first, "cleo", 7)));
        assertEquals(new Refusal(Reason.LOST, "settings", wins.number(), "bob", wins.hash()), cleos);
        assertEquals(new Effect.Pending(wins), propose(bobs), "told twice it is still one");
        VOTERS.forEach(v -> ledger.apply(Kinds.verdict(v, Kinds.all(), wins)));
        assertEquals(Reason.LOST, refused(propose(settings(first, "cleo", 7))).reason());
        assertEquals(new Effect.Accepted(bobs.key(), wins), propose(bobs));
        Document back = accepted(Proposal.rollback(wins, first, "ann"));
        assertTrue(back.number() > wins.number() && back.body().equals(first.body()));
        assertEquals(Reason.OLD_PARENT, refused(propose(settings(first, "cleo", 9))).reason());
    }

    @Example
    void whatOneVotersProgramCannotReadIsRefusedByItsName() {
        Document first = accepted(settings(null, "ann", 5));
        Document next = ((Effect.Pending) propose(settings(first, "bob", 6))).document();
        ledger.apply(Kinds.verdict("a", Kinds.all(), next));
        Refusal why = refused(ledger.apply(Kinds.verdict("b", new HashMap<>(), next)).get(0));
        assertEquals(Reason.UNREADABLE, why.reason());
        assertTrue(why.sentence().startsWith("b cannot read settings 2"), why.sentence());
        assertEquals(first, ledger.head("settings"));
        Document again = ((Effect.Pending) propose(settings(first, "cleo", 7))).document();
        assertEquals(3, again.number(), "a number that was refused is not given again");
        assertEquals(List.of(), ledger.apply(Kinds.verdict("c", Kinds.all(), next)), "a late verdict does nothing");
        assertEquals(List.of(), ledger.apply(Kinds.verdict("x", Kinds.all(), again)),
                "nor that of one who has no vote");
        ledger.apply(new Entry.Lead("a", 1));
        assertEquals("a, b, c", refused(ledger.apply(new Entry.Close(1, "settings", 3)).get(0)).by());
        Document last = ((Effect.Pending) propose(settings(first, "cleo", 7))).document();
        ledger.apply(Kinds.verdict("a", Kinds.all(), last));
        ledger.apply(Kinds.verdict("c", Kinds.all(), last));
        assertEquals(List.of(), ledger.apply(new Entry.Close(0, "settings", last.number())), "of an older leader");
        assertEquals(List.of(new Effect.Accepted(last.proposal().key(), last)),
                ledger.apply(new Entry.Close(1, "settings", 4)));
    }

    @Example
    void onlyTheLeaderLetsActAndNothingGoesBack() {
        Document first = accepted(settings(null, "ann", 5));
        ledger.apply(new Entry.Lead("a", 1));
        ledger.apply(new Entry.Lead("b", 1));
        assertEquals(List.of(), ledger.apply(new Entry.Act(1, "settings", first.number())));
        assertEquals(1, ledger.apply(new Entry.Act(2, "settings", first.number())).size());
        Document head = first;
        for (int i = 0; i < Ledger.MOST_WAITING; i++) {
            head = accepted(settings(head, "ann", 10 + i));
        }
        assertEquals(Reason.BUSY, refused(propose(settings(head, "ann", 99))).reason());
        ledger.apply(new Entry.Act(2, "settings", head.number()));
        assertEquals(List.of(), ledger.apply(new Entry.Act(2, "settings", first.number())));
        assertEquals(new Chain("settings", head.number(), head.number(), List.of(head)), ledger.chain("settings"));
        for (int i = 0; i < 100; i++) {
            head = accepted(settings(head, "ann", i + 1));
            ledger.apply(new Entry.Act(2, "settings", head.number()));
        }
        assertEquals(33, ledger.history("settings").size(), "the history is bounded");
        assertEquals(Reason.MALFORMED, refused(propose(new Proposal("Bad Name", 0, "", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED, refused(propose(new Proposal("plan", 4, "00", "me", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED, refused(propose(new Proposal("plan", 0, "", " ", "{}", "{}"))).reason());
        assertEquals(Reason.MALFORMED,
                refused(propose(new Proposal("plan", 0, "", "me", "x".repeat(Ledger.MOST_TEXT + 1), "{}"))).reason());
    }

    /** Any entries, in any order: two ledgers come to the same, also where one was saved and restored on the way. */
    @Property(tries = 200, seed = "2")
    void equalEntriesGiveEqualLedgers(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        var ledger = new Ledger(VOTERS);
        var other = new Ledger(VOTERS);
        long last = 0;
        for (int i = 0; i < 60; i++) {
            Document head = ledger.head("settings");
            Document pending = ledger.pending("settings");
            var choices = new ArrayList<Entry>(List.of(
                    new Entry.Propose(settings(random.nextInt(4) == 0 ? null : head, "ann", random.nextInt(9))),
                    new Entry.Lead(VOTERS.get(random.nextInt(3)), i), new Entry.Act(ledger.epoch(), "settings", last),
                    new Entry.Act(ledger.epoch() - 1, "settings", last)));
            if (pending != null) {
                for (String v : VOTERS) {
                    choices.add(Kinds.verdict(v, random.nextInt(9) == 0 ? new HashMap<>() : Kinds.all(), pending));
                }
                choices.add(new Entry.Close(ledger.epoch(), "settings", pending.number()));
            }
            Entry entry = choices.get(random.nextInt(choices.size()));
            byte[] bytes = Forms.write(entry);
            assertEquals(entry, Forms.read(bytes));
            List<Effect> effects = ledger.apply(entry);
            assertEquals(effects, other.apply(Forms.read(bytes)));
            other = Ledger.restore(VOTERS, other.save());
            assertArrayEquals(ledger.save(), other.save());
            long now = ledger.head("settings") == null ? 0 : ledger.head("settings").number();
            assertTrue(now >= last && ledger.acting("settings") <= now, "a number went back");
            last = now;
        }
        byte[] saved = ledger.save();
        for (int cut = 0; cut < saved.length; cut++) {
            byte[] torn = Arrays.copyOf(saved, cut);
            assertThrows(DamagedException.class, () -> Ledger.restore(VOTERS, torn));
        }
    }
}
