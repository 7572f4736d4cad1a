package wallmoor.bans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class BanRegisterPropertiesTest {
    @Provide
    Arbitrary<List<BanMark>> marks() {
        return Combinators.combine(Arbitraries.of("w1", "w2", "w3", "w!~\"4"), Arbitraries.of(true, false),
                Arbitraries.longs().between(0, 6)).as(BanMark::new).list().ofMaxSize(6);
    }

    private static BanRegister mergedRegister(List<BanMark> first, List<BanMark> second) {
        var bans = new BanRegister();
        bans.merge(first);
        bans.merge(second);
        return bans;
    }

    @Property(tries = 500)
    void mergeIsCommutativeAssociativeAndIdempotent(@ForAll("marks") List<BanMark> a, @ForAll("marks") List<BanMark> b,
            @ForAll("marks") List<BanMark> c) {
        BanRegister ab = mergedRegister(a, b);
        assertEquals(ab.marks(), mergedRegister(b, a).marks());
        assertEquals(mergedRegister(ab.marks(), c).marks(), mergedRegister(a, mergedRegister(b, c).marks()).marks());
        List<BanMark> before = ab.marks();
        assertEquals(List.of(), ab.merge(a));
        assertEquals(before, ab.marks());
        assertFalse(ab.isNewerThan(before));
        assertEquals(!mergedRegister(a, List.of()).marks().equals(mergedRegister(a, b).marks()),
                mergedRegister(a, b).isNewerThan(mergedRegister(a, List.of()).marks()));
    }

    @Property(tries = 500)
    void lastCallWinsInWhicheverProcessItIsMade(@ForAll @Size(max = 30) List<@IntRange(max = 31) Integer> calls) {
        var processes = List.of(new BanRegister(), new BanRegister());
        var lastCalls = new HashMap<String, Boolean>();
        long now = 100;
        for (int call : calls) {
            BanRegister process = processes.get(call % 2);
            String id = "w" + call / 2 % 3;
            boolean banned = call / 6 % 2 == 0;
            if (call >= 24) {
                BanRegister other = processes.get(1 - call % 2);
                var before = process.bannedIds();
                List<String> changed = process.merge(other.marks());
                var differing = new java.util.TreeSet<>(before);
                differing.addAll(process.bannedIds());
                differing.removeIf(w -> before.contains(w) && process.isBanned(w));
                assertEquals(differing, new java.util.TreeSet<>(changed));
            } else {
                boolean wasBanned = process.isBanned(id);
                assertEquals(wasBanned != banned, banned ? process.ban(id, ++now) : process.unban(id, ++now));
                assertEquals(banned, process.isBanned(id));
                lastCalls.put(id, banned);
            }
        }
        processes.get(0).merge(processes.get(1).marks());
        processes.get(1).merge(processes.get(0).marks());
        assertEquals(processes.get(0).marks(), processes.get(1).marks());
        lastCalls.forEach((id, banned) -> assertEquals(banned, processes.get(0).isBanned(id), id));
    }

    @Example
    void callSupersedesKnownMarkIfClockWentBack() {
        BanRegister bans = mergedRegister(List.of(new BanMark("w1", true, 1_000)), List.of());
        assertTrue(bans.unban("w1", 10));
        assertEquals(List.of(new BanMark("w1", false, 1_001)), bans.marks());
        assertEquals(List.of(), bans.merge(List.of(new BanMark("w1", true, 1_000))));
    }

    @Example
    void retainsBansAndDropsOldestLiftedBansAtLimit() {
        var bans = new BanRegister();
        bans.ban("stays", 1);
        for (int i = 0; i < 2 * BanRegister.MAX_MARKS; i++) {
            bans.unban("w" + i, 2 + i);
        }
        assertEquals(BanRegister.MAX_MARKS, bans.marks().size());
        assertEquals(new BanMark("stays", true, 1), bans.marks().get(0));
        assertFalse(bans.isNewerThan(bans.marks()));
        assertTrue(BanFileCodec.encode(bans.marks()).length < BanFileCodec.MAX_BYTES);
    }

    @Property(tries = 500)
    void decodesEncodedMarksAndRejectsTruncatedOrDamagedFile(@ForAll("marks") List<BanMark> some, @ForAll int position,
            @ForAll @IntRange(min = 1, max = 255) int flippedBits) throws BanFileException {
        List<BanMark> marks = mergedRegister(some, List.of()).marks();
        byte[] encoded = BanFileCodec.encode(marks);
        assertEquals(marks, BanFileCodec.decode(encoded));
        int offset = Math.floorMod(position, encoded.length);
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(Arrays.copyOf(encoded, offset)));
        byte[] damaged = encoded.clone();
        damaged[offset] ^= (byte) flippedBits;
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(damaged));
    }

    @Example
    void decodesFileOfMaximumLengthAndRejectsLongerFile() throws BanFileException {
        List<BanMark> marks = IntStream.range(0, BanRegister.MAX_MARKS)
                .mapToObj(i -> new BanMark(String.format("%0128d", i), true, 999_999_999_999_999_999L)).toList();
        assertEquals(marks, BanFileCodec.decode(BanFileCodec.encode(marks)));
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(new byte[BanFileCodec.MAX_BYTES + 1]));
    }
}
