package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import wallmoor.decision.PeerMessage.Ban;
import wallmoor.decision.PeerMessage.Entry;

/**
 * Messages between gatherers, as the version at 990cf03 wrote them: processes of two versions live side by side while
 * one replaces the other, so these bytes are read and written alike by each.
 */
class PeerMessageGoldenTest {
    private static final String FOLDER = "/golden/decision/";

    @Test
    void bans() throws IOException {
        sameBan("ban", new Ban(0x7a3b19c5, 4_000_000));
        sameBan("ban-negative-signature", new Ban(-77, 250_000));
    }

    @Test
    void anIllWorker() throws IOException {
        sameEntries("entry-ill", List.of(Entry.ill("khi-07")));
        assertTrue(PeerMessage.entries(golden("entry-ill")).get(0).isIll());
    }

    @Test
    void partsOut() throws IOException {
        sameEntries("entries-parts", List.of(Entry.parts("khi-00", 0), Entry.parts("khi-01", 1),
                Entry.parts("khi-02", 5), Entry.parts("khi-03", 6), Entry.parts("khi-04", 200)));
        List<Integer> codes = PeerMessage.entries(golden("entries-parts")).stream().map(Entry::code).toList();
        assertEquals(List.of(0, 1, 5, 6, 6), codes, "a code holds six parts at most");
    }

    @Test
    void answers() throws IOException {
        sameEntries("entries-answer", List.of(Entry.answer("khi-00", 0.01), Entry.answer("khi-01", 0.5),
                Entry.answer("khi-02", 1), Entry.answer("khi-03", 1.5), Entry.answer("khi-04", 4),
                Entry.answer("khi-05", 100)));
        List<Double> ratios = PeerMessage.entries(golden("entries-answer")).stream().map(Entry::ratio).toList();
        assertEquals(List.of(0.5, 0.5, 1.0, Math.sqrt(2), 4.0, Math.pow(2, 2.5)), ratios,
                "in steps of half a doubling");
    }

    @Test
    void entriesOfSeveralKindsAndNone() throws IOException {
        sameEntries("entries-mixed", List.of(Entry.answer("leaf3", 2), Entry.ill("leaf11"), Entry.parts("leaf0", 3),
                Entry.parts("", 2)));
        sameEntries("entries-none", List.of());
    }

    @Test
    void noMoreEntriesThanAMessageHolds() throws IOException {
        var many = new ArrayList<Entry>();
        for (int i = 0; i < 140; i++) {
            many.add(Entry.parts("w" + i, i % 8));
        }
        byte[] bytes = golden("entries-most");
        assertEquals(255, bytes.length);
        assertArrayEquals(bytes, PeerMessage.write(many));
        assertEquals(many.subList(0, 127), PeerMessage.entries(bytes));
    }

    private static void sameBan(String file, Ban ban) throws IOException {
        byte[] bytes = golden(file);
        assertEquals(ban, PeerMessage.ban(bytes));
        assertTrue(PeerMessage.entries(bytes).isEmpty());
        assertArrayEquals(bytes, PeerMessage.write(PeerMessage.ban(bytes)));
    }

    private static void sameEntries(String file, List<Entry> entries) throws IOException {
        byte[] bytes = golden(file);
        assertEquals(entries, PeerMessage.entries(bytes));
        assertNull(PeerMessage.ban(bytes));
        assertArrayEquals(bytes, PeerMessage.write(PeerMessage.entries(bytes)));
    }

    private static byte[] golden(String name) throws IOException {
        try (var file = PeerMessageGoldenTest.class.getResourceAsStream(FOLDER + name + ".hex")) {
            return HexFormat.of().parseHex(new String(file.readAllBytes(), StandardCharsets.US_ASCII).strip());
        }
    }
}
