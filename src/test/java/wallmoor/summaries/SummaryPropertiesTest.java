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

/** Invariants of summaries over random rows, limits and conditions. */
class SummaryPropertiesTest {
    private static SummaryLimits randomLimits(Random random) {
        return new SummaryLimits(random.nextInt(3) == 0 ? SummaryLimits.MIN_BYTES : 8192, 1 + random.nextInt(7), 1
                + random.nextInt(12),
                8 + random.nextInt(30), 1 << (8 + random.nextInt(6)), 1 + random.nextInt(4), 1 + random.nextInt(4));
    }

    private static List<Row> rows(Random random, int maxRows) {
        boolean mixed = random.nextBoolean();
        var rows = new ArrayList<Row>();
        for (int i = random.nextInt(maxRows); i >= 0; i--) {
            rows.add(RandomInputs.row(random, mixed));
        }
        return rows;
    }

    private static void assertNoMatchExcluded(Summary s, List<Row> rows, Random random) {
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
    void neverExcludesMatchingRowAfterWideningOrEncoding(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        SummaryLimits s = randomLimits(random);
        var all = rows(random, random.nextInt(5) == 0 ? 400 : 20);
        var builder = new SummaryBuilder(s, "a", "b", 1);
        all.forEach(builder::add);
        Summary summary = builder.build(1);
        for (int i = 0; i < 3; i++) {
            byte[] sent = Encoding.encode(summary);
            assertTrue(sent.length <= s.bytes(), "" + sent.length);
            summary = Encoding.decode(sent);
            assertEquals(summary.lines().toString(), Encoding.decode(Encoding.encode(summary)).lines().toString());
            assertNoMatchExcluded(summary, all, random);
            List<Row> more = rows(random, 4);
            var deltaBuilder = new SummaryBuilder(randomLimits(random), "a", "b", 1);
            more.forEach(deltaBuilder::add);
            Summary delta = deltaBuilder.build(0);
            boolean covered = summary.covers(delta);
            var wider = new SummaryBuilder(s, summary);
            wider.absorb(delta);
            all.addAll(more);
            if (covered) {
                assertNoMatchExcluded(summary, all, random);
            }
            summary = wider.build(i + 2);
        }
    }

    @Property(tries = 400)
    void indexEqualsLinearScan(@ForAll long seed) {
        var random = new Random(seed);
        var index = new SummaryIndex();
        var summaries = new Summary[20];
        for (int step = 0; step < 60; step++) {
            int slot = random.nextInt(summaries.length);
            if (random.nextInt(5) == 0) {
                index.remove(slot);
                summaries[slot] = null;
            } else {
                var builder = summaries[slot] == null || random.nextBoolean()
                        ? new SummaryBuilder(randomLimits(random), "s" + slot, "b",
                                step)
                        : new SummaryBuilder(randomLimits(random), summaries[slot]);
                rows(random, 5).forEach(builder::add);
                summaries[slot] = builder.build(step);
                index.put(slot, summaries[slot]);
            }
            Conditions c = RandomInputs.conditions(random);
            var matching = index.matchingSlots(c);
            for (int i = 0; i < summaries.length; i++) {
                assertEquals(summaries[i] != null && summaries[i].exclusionReason(c) == null, matching.get(i),
                        "slot " + i + " for " + c);
            }
        }
    }

    @Property(tries = 400)
    void rejectsTornUnknownAndMalformedBytes(@ForAll long seed) {
        var random = new Random(seed);
        var builder = new SummaryBuilder(randomLimits(random), "a", "b", 1);
        rows(random, 10).forEach(builder::add);
        byte[] good = Encoding.encode(builder.build(1));
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
        try { // a faulty encoder: the checksum matches, the body is arbitrary
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
    void excludesValuesOutsideSummary() {
        var builder = new SummaryBuilder(SummaryLimits.defaults(), "a", "b", 1);
        for (int i = 0; i < 1000; i++) {
            builder.add(new Row(java.util.Map.of("city", "Karachi", "price", (long) i, "plate", "K-" + i),
                    Row.Coordinates.of(i % 2 == 0 ? 179.5 : -179.5, -17), TimeSpan.parse("2026-01-05T10:00:00Z")));
        }
        Summary s = builder.build(1);
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
