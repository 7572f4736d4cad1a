package wallmoor.summaries;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What holds of every summary, over random rows, settings and conditions. */
class SummaryPropertiesTest {
    private static SummaryLimits settings(Random random) {
        return new SummaryLimits(random.nextInt(3) == 0 ? SummaryLimits.MIN_BYTES : 8192, 1 + random.nextInt(7), 1
                + random.nextInt(12),
                8 + random.nextInt(30), 1 << (8 + random.nextInt(6)), 1 + random.nextInt(4), 1 + random.nextInt(4));
    }

    private static List<Row> rows(Random random, int most) {
        boolean mixed = random.nextBoolean();
        var rows = new ArrayList<Row>();
        for (int i = random.nextInt(most); i >= 0; i--) {
            rows.add(RandomInputs.row(random, mixed));
        }
        return rows;
    }

    private static void holds(Summary s, List<Row> rows, Random random) {
        for (int i = 0; i < 40; i++) {
            Conditions c = RandomInputs.conditions(random);
            String why = s.exclusionReason(c);
            for (Row row : rows) {
                assertTrue(why == null || !ReferenceMatcher.matches(row, c, rows),
                        () -> why + " but " + row + " meets " + c);
            }
        }
    }

    @Property(tries = 600)
    void noRowIsEverExcludedNeitherByWideningNorBySending(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        SummaryLimits s = settings(random);
        var all = rows(random, random.nextInt(5) == 0 ? 400 : 20);
        var draft = new SummaryBuilder(s, "a", "b", 1);
        all.forEach(draft::add);
        Summary told = draft.build(1);
        for (int i = 0; i < 3; i++) {
            byte[] sent = Encoding.encode(told);
            assertTrue(sent.length <= s.bytes(), "" + sent.length);
            told = Encoding.decode(sent);
            assertEquals(told.lines().toString(), Encoding.decode(Encoding.encode(told)).lines().toString());
            holds(told, all, random);
            List<Row> more = rows(random, 4);
            var alone = new SummaryBuilder(settings(random), "a", "b", 1);
            more.forEach(alone::add);
            Summary delta = alone.build(0);
            boolean covered = told.covers(delta);
            var wider = new SummaryBuilder(s, told);
            wider.absorb(delta);
            all.addAll(more);
            if (covered) {
                holds(told, all, random);
            }
            told = wider.build(i + 2);
        }
    }

    @Property(tries = 400)
    void theIndexSaysWhatTheSummariesSay(@ForAll long seed) {
        var random = new Random(seed);
        var index = new SummaryIndex();
        var held = new Summary[20];
        for (int step = 0; step < 60; step++) {
            int slot = random.nextInt(held.length);
            if (random.nextInt(5) == 0) {
                index.remove(slot);
                held[slot] = null;
            } else {
                var draft = held[slot] == null || random.nextBoolean()
                        ? new SummaryBuilder(settings(random), "s" + slot, "b",
                                step)
                        : new SummaryBuilder(settings(random), held[slot]);
                rows(random, 5).forEach(draft::add);
                held[slot] = draft.build(step);
                index.put(slot, held[slot]);
            }
            Conditions c = RandomInputs.conditions(random);
            var could = index.matchingSlots(c);
            for (int i = 0; i < held.length; i++) {
                assertEquals(held[i] != null && held[i].exclusionReason(c) == null, could.get(i), "slot " + i + " for " + c);
            }
        }
    }

    @Property(tries = 400)
    void bytesThatAreTornOrUnknownAreToldSo(@ForAll long seed) {
        var random = new Random(seed);
        var draft = new SummaryBuilder(settings(random), "a", "b", 1);
        rows(random, 10).forEach(draft::add);
        byte[] good = Encoding.encode(draft.build(1));
        byte[] torn = Arrays.copyOf(good, random.nextInt(good.length));
        assertEquals(UnreadableSummaryException.Fault.TORN,
                assertThrows(UnreadableSummaryException.class, () -> Encoding.decode(torn))
                        .fault());
        byte[] flipped = good.clone();
        flipped[random.nextInt(good.length)] ^= (byte) (1 << random.nextInt(8));
        assertThrows(UnreadableSummaryException.class, () -> Encoding.decode(flipped));
        byte[] kind = resealed(good, 5, 9);
        assertEquals(UnreadableSummaryException.Fault.UNKNOWN_KIND, assertThrows(UnreadableSummaryException.class,
                () -> Encoding.decode(kind)).fault());
        byte[] version = resealed(good, 4, 2);
        assertEquals(UnreadableSummaryException.Fault.UNKNOWN_VERSION,
                assertThrows(UnreadableSummaryException.class, () -> Encoding.decode(version)).fault());
        try { // a faulty maker's: its check is right, its body anything
            Encoding.decode(resealed(good, 10 + random.nextInt(good.length - 14), random.nextInt(256)));
        } catch (UnreadableSummaryException e) {
            assertEquals(UnreadableSummaryException.Fault.MALFORMED, e.fault(), e.getMessage());
        }
    }

    static byte[] resealed(byte[] good, int at, int value) {
        byte[] bytes = good.clone();
        bytes[at] = (byte) value;
        var crc = new java.util.zip.CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        java.nio.ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
        return bytes;
    }

    @Property(tries = 1)
    void itDoesExclude() {
        var draft = new SummaryBuilder(SummaryLimits.defaults(), "a", "b", 1);
        for (int i = 0; i < 1000; i++) {
            draft.add(new Row(java.util.Map.of("city", "Karachi", "price", (long) i, "plate", "K-" + i),
                    Row.Coordinates.of(i % 2 == 0 ? 179.5 : -179.5, -17), TimeSpan.parse("2026-01-05T10:00:00Z")));
        }
        Summary s = draft.build(1);
        for (String none : List.of("city=Lahore", "price=1000..", "price=..-1", "plate=K-1000", "city=L..M", "city=",
                "city=a..b")) {
            assertTrue(s.exclusionReason(new Conditions(null, null, List.of(Condition.parse(none)))) != null, none);
        }
        for (String some : List.of("city= karachi ", "price=999", "price=999.0", "plate=k-7", "city=K..L",
                "city=a..l", "other=1")) {
            assertNull(s.exclusionReason(new Conditions(null, null, List.of(Condition.parse(some)))), some);
        }
        assertNull(s.exclusionReason(new Conditions(Conditions.box("179,-18,-179,-16"), null, List.of())));
        assertFalse(s.exclusionReason(new Conditions(Conditions.box("-179,-18,179,-16"), null, List.of())) == null);
        assertNull(s.exclusionReason(new Conditions(null, TimeSpan.parse("2026-01-05"), List.of())));
        assertFalse(s.exclusionReason(new Conditions(null, TimeSpan.parse("2026-01-07/.."), List.of())) == null);
    }
}
