package wallmoor.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import wallmoor.versions.Message.Ask;
import wallmoor.versions.Message.Grant;
import wallmoor.versions.Message.News;

/** Both sides by hand: what a gatherer goes by, and whom a leader gives a lease. */
class HolderTest {
    private static final Terms TERMS = Terms.usual();
    private static final Document ONE = Document
            .of(new Proposal("settings", 0, "", "ann", "{\"limits.open\": 5}", "{\"limits.open\": 1}"), 1);
    private static final Document TWO = Document
            .of(new Proposal("settings", 1, ONE.hash(), "ann", "{\"limits.open\": 9, \"new\": 1}", "{}"), 2);
    private static final Chain FIRST = new Chain("settings", 1, 1, List.of(ONE));
    private static final Chain BOTH = new Chain("settings", 1, 2, List.of(ONE, TWO));

    private static Holder holder(List<Chain> kept) {
        return new Holder("h", 7, TERMS, Kinds.all(), kept);
    }

    private static Act.Basis basis(Holder holder, long now) {
        return holder.snapshot().acting(now, "settings").basis();
    }

    @Example
    void aLeaseCountsFromTheAskAndIsOverOnTheDot() {
        Holder holder = holder(List.of(FIRST));
        assertEquals(Act.Basis.FALLBACK, basis(holder, 0), "what was kept, by one that may not be sure");
        Ask ask = holder.onTick(0);
        assertNull(holder.onTick(TERMS.renew() - 1));
        assertNotNull(holder.onTick(TERMS.renew()));
        holder.onGrant(3_000_000, new Grant("h", 6, ask.seq(), List.of(FIRST)));
        assertEquals(Act.Basis.FALLBACK, basis(holder, 3_000_000), "the grant of another process");
        holder.onGrant(3_000_000, new Grant("h", 7, ask.seq(), List.of(FIRST)));
        Snapshot read = holder.snapshot();
        assertEquals(Act.Basis.VERSION, read.acting(TERMS.lease() - 1, "settings").basis());
        assertEquals(Act.Basis.FALLBACK, read.acting(TERMS.lease(), "settings").basis(),
                "one that wakes with an old snapshot");
        assertEquals(Act.Basis.NONE, read.acting(0, "plan").basis());
        Body queries = read.acting(4_000_000, "settings").body();
        assertSame(queries, read.acting(4_000_001, "settings").body(), "nothing is made anew for each query");
    }

    @Example
    void whatItsProgramCannotReadItDoesNotActOnAndSaysSo() {
        Holder holder = holder(List.of());
        Ask ask = holder.onTick(0);
        assertNotNull(holder.onGrant(1, new Grant("h", 7, ask.seq(), List.of(FIRST))),
                "it tells at once what it knows now");
        Ask told = holder.onNews(2, new News(List.of(BOTH)));
        assertEquals(2, told.known().get("settings").number());
        assertEquals(
                new Act(Act.Basis.FALLBACK, 1, 2,
                        new Body(new java.util.TreeMap<>(Map.of("limits.open", new Value.Amount(1))))),
                holder.snapshot().acting(3, "settings"));
        assertTrue(
                holder.unreadable().get("settings").startsWith("h cannot read settings 2: settings: new is no field"));
        assertEquals(List.of(BOTH), holder(holder.known()).known(), "what is kept is what was known");
    }

    @Example
    void whatDoesNotFollowGivesNoLease() {
        Document other = Document.of(new Proposal("settings", 0, "", "eve", "{\"limits.open\": 99}", "{}"), 1);
        Document forged = new Document("settings", 2, 1, ONE.hash(), "eve", "{}", "{}", TWO.hash());
        for (Chain bad : List.of(
                new Chain("settings", 1, 2, List.of(other, Document.of(new Proposal("settings", 1, other.hash(), "eve",
                        "{}", "{}"), 2))),
                new Chain("settings", 1, 2, List.of(ONE, forged)), new Chain("settings", 2, 3, List.of()))) {
            Holder holder = holder(List.of(FIRST));
            holder.onGrant(1, new Grant("h", 7, holder.onTick(0).seq(), List.of(bad)));
            assertEquals(Act.Basis.FALLBACK, basis(holder, 1), bad.toString());
            assertTrue(holder.denied().startsWith("what came of settings"));
        }
    }

    /** Voters that lost all they kept give no lease to one that knows what they don't: numbers would begin anew. */
    @Example
    void votersThatLostTheirFilesGiveNoLease() {
        var ledger = new Ledger(List.of("a"));
        var sent = new ArrayList<Message>();
        var barriers = new ArrayList<Long>();
        var entries = new ArrayList<Entry>();
        var grants = new Grants("a", 1, TERMS, ledger, new Grants.Actions() {
            @Override
            public void send(String holder, Message message) {
                sent.add(message);
            }

            @Override
            public void append(Entry entry) {
                entries.add(entry);
            }

            @Override
            public void barrier(long token) {
                barriers.add(token);
            }
        });
        Holder knows = holder(List.of(FIRST));
        Ask early = knows.onTick(0);
        grants.onAsk(0, early);
        assertEquals(List.of(), barriers, "it does not lead");
        grants.onElected(0, true);
        assertEquals(List.of(new Entry.Lead("a", 1)), entries);
        grants.onApplied(0, ledger.apply(entries.get(0)));
        grants.onAsk(1, early);
        assertEquals(List.of(), sent, "not before the barrier is back");
        grants.onBarrier(2, barriers.get(0));
        knows.onDenied((Message.Denied) sent.get(0));
        assertTrue(knows.denied().contains("put their files back"), knows.denied());
        Holder fresh = new Holder("i", 1, TERMS, Kinds.all(), List.of());
        Ask ask = fresh.onTick(2);
        grants.onAsk(3, ask);
        grants.onAsk(3, ask);
        grants.onNoBarrier(4, barriers.get(1));
        assertEquals(1, sent.size(), "no lease by a barrier that failed");
        grants.onAsk(5, fresh.onTick(2 + TERMS.renew()));
        grants.onBarrier(6, barriers.get(2));
        assertEquals(new Grant("i", 1, 2, List.of()), sent.get(1));
        assertEquals(5 + TERMS.over(), grants.outUntil());
    }
}
