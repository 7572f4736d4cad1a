package wallmoor.versions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Bytes that an earlier release stored or sent, kept as hexadecimal text in {@code golden/versions}: this release reads
 * them as the same values and writes the same bytes. A file here is never changed; a new form gets files of its own.
 */
class GoldenBytesTest {
    private static final Document FIRST = Document.of(
            new Proposal("settings", 0, "", "ann", "{\"limits.open\":5,\"allow.hedge\":true}", "{\"limits.open\":1}"),
            1);
    private static final Document SECOND = Document.of(
            new Proposal("settings", 1, FIRST.hash(), "bob ü", "{\"limits.open\":9,\"values.note\":\"größer\"}", "{}"),
            2);
    private static final Document PLAN = Document
            .of(new Proposal("plan", 0, "", "cleo", "{\"paused\":true,\"owners.7\":[\"a\",\"b\"]}", "{}"), 4);
    private static final List<Chain> CHAINS = List.of(new Chain("settings", 1, 2, List.of(FIRST, SECOND)),
            new Chain("plan", 0, 4, List.of(PLAN)), new Chain("list", 3, 3, List.of()));
    private static final long LIFE = 0x0123456789abcdefL;

    private static byte[] golden(String name) throws IOException {
        try (InputStream in = GoldenBytesTest.class.getResourceAsStream("/golden/versions/" + name + ".hex")) {
            return HexFormat.of()
                    .parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII).replaceAll("\\s", ""));
        }
    }

    private static Map<String, Entry> entries() {
        var entries = new LinkedHashMap<String, Entry>();
        entries.put("entry-propose", new Entry.Propose(SECOND.proposal()));
        entries.put("entry-verdict-reads", new Entry.Verdict("b", "settings", 2, SECOND.hash(), ""));
        entries.put("entry-verdict-refuses",
                new Entry.Verdict("b", "settings", 2, SECOND.hash(), "settings: limits.open is no amount"));
        entries.put("entry-close", new Entry.Close(3, "settings", 2));
        entries.put("entry-lead", new Entry.Lead("a", LIFE));
        entries.put("entry-act", new Entry.Act(3, "settings", 2));
        return entries;
    }

    /** A map of several documents has no order on the wire, so an ask names one here, and the next test reads two. */
    private static Map<String, Message> messages() {
        var messages = new LinkedHashMap<String, Message>();
        messages.put("message-ask-first", new Message.Ask("g1", LIFE, 1, Map.of()));
        messages.put("message-ask",
                new Message.Ask("g1", LIFE, 2, Map.of("settings", new Message.Known(2, SECOND.hash()))));
        messages.put("message-grant", new Message.Grant("g1", LIFE, 2, CHAINS));
        messages.put("message-denied", new Message.Denied("g1", -1, 2, "leases are out to 10000 gatherers"));
        messages.put("message-news", new Message.News(CHAINS));
        return messages;
    }

    /** An accepted version that acts, one that does not act yet, and one that waits for verdicts. */
    private static Ledger ledger() {
        List<String> voters = List.of("a", "b", "c");
        var ledger = new Ledger(voters);
        ledger.apply(new Entry.Lead("a", LIFE));
        for (Document d : List.of(FIRST, SECOND)) {
            ledger.apply(new Entry.Propose(d.proposal()));
            voters.forEach(v -> ledger.apply(new Entry.Verdict(v, d.name(), d.number(), d.hash(), "")));
        }
        ledger.apply(new Entry.Act(1, "settings", 1));
        ledger.apply(new Entry.Propose(PLAN.proposal()));
        Document pending = ledger.pending("plan");
        ledger.apply(new Entry.Verdict("c", "plan", 1, pending.hash(), ""));
        return ledger;
    }

    @Example
    void logEntriesOfAnEarlierReleaseAreReadAndWrittenAlike() throws Exception {
        for (Map.Entry<String, Entry> e : entries().entrySet()) {
            byte[] bytes = golden(e.getKey());
            assertEquals(e.getValue(), Forms.read(bytes), e.getKey());
            assertArrayEquals(bytes, Forms.write(e.getValue()), e.getKey());
        }
    }

    @Example
    void messagesOfAnEarlierReleaseAreReadAndWrittenAlike() throws Exception {
        for (Map.Entry<String, Message> e : messages().entrySet()) {
            byte[] bytes = golden(e.getKey());
            assertEquals(e.getValue(), MessageForms.read(bytes), e.getKey());
            assertArrayEquals(bytes, MessageForms.write(e.getValue()), e.getKey());
        }
    }

    @Example
    void anAskAboutTwoDocumentsIsReadInEitherOrder() throws Exception {
        var ask = new Message.Ask("g1", LIFE, 3,
                Map.of("settings", new Message.Known(2, SECOND.hash()), "plan", new Message.Known(4, PLAN.hash())));
        assertEquals(ask, MessageForms.read(golden("message-ask-plan-settings")));
        assertEquals(ask, MessageForms.read(golden("message-ask-settings-plan")));
    }

    @Example
    void aSavedLedgerOfAnEarlierReleaseIsRestoredAndSavedAlike() throws Exception {
        byte[] bytes = golden("ledger");
        Ledger restored = Ledger.restore(List.of("a", "b", "c"), bytes);
        assertArrayEquals(bytes, restored.save());
        assertArrayEquals(bytes, ledger().save());
        assertEquals(FIRST.number(), restored.acting("settings"));
        assertEquals(SECOND, restored.head("settings"));
        assertEquals(PLAN.proposal(), restored.pending("plan").proposal());
        assertEquals("[a, b]", restored.silent("plan").toString());
    }

    @Example
    void aFileOfWhatAGathererKnewIsReadAndWrittenAlike() throws Exception {
        byte[] bytes = golden("known-file");
        assertEquals(CHAINS, MessageForms.kept(Records.readWhole(bytes)));
        assertArrayEquals(bytes, Records.whole(MessageForms.keep(CHAINS)));
    }

    /** A log's file: a record an entry, and a torn one at the end that is cut. */
    @Example
    void aFileThatGrewIsReadToItsLastRecord() throws Exception {
        byte[] bytes = golden("log-file-torn");
        Records.Read read = Records.read(bytes);
        List<Entry> expected = List.copyOf(entries().values());
        assertEquals(expected.size(), read.records().size());
        int at = 0;
        for (int i = 0; i < expected.size(); i++) {
            assertEquals(expected.get(i), Forms.read(read.records().get(i)));
            byte[] record = Records.write(Forms.write(expected.get(i)));
            assertArrayEquals(Arrays.copyOfRange(bytes, at, at + record.length), record);
            at += record.length;
        }
        assertEquals(at, read.length());
        assertEquals(at + 17, bytes.length);
    }

    @Example
    void theHashesOfAnEarlierReleaseHold() {
        assertEquals("42a81586d32dfdd6ca7c0364a011e456c294492252408a38f69dcd8918d4068b", FIRST.hash());
        assertEquals("5651426f72fbc15ae4b9e02bdf5beed1f782a36fa064bb4082b86474e75b122b", SECOND.hash());
        assertEquals("887acdaa3f147f58bcbb77db3415b907e5647b12628aa097aba536cec3589e63", SECOND.proposal().key());
    }
}
