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

    private static BanRegister of(List<BanMark> first, List<BanMark> second) {
        var bans = new BanRegister();
        bans.merge(first);
        bans.merge(second);
        return bans;
    }

    @Property(tries = 500)
    void mergeIsCommutativeAssociativeAndIdempotent(@ForAll("marks") List<BanMark> a, @ForAll("marks") List<BanMark> b,
            @ForAll("marks") List<BanMark> c) {
        BanRegister ab = of(a, b);
        assertEquals(ab.marks(), of(b, a).marks());
        assertEquals(of(ab.marks(), c).marks(), of(a, of(b, c).marks()).marks());
        List<BanMark> before = ab.marks();
        assertEquals(List.of(), ab.merge(a));
        assertEquals(before, ab.marks());
        assertFalse(ab.isNewerThan(before));
        assertEquals(!of(a, List.of()).marks().equals(of(a, b).marks()),
                of(a, b).isNewerThan(of(a, List.of()).marks()));
    }

    @Property(tries = 500)
    void theLastCallDecidesInWhicheverProcessItIsMade(@ForAll @Size(max = 30) List<@IntRange(max = 31) Integer> calls) {
        var processes = List.of(new BanRegister(), new BanRegister());
        var last = new HashMap<String, Boolean>();
        long now = 100;
        for (int call : calls) {
            BanRegister at = processes.get(call % 2);
            String id = "w" + call / 2 % 3;
            boolean out = call / 6 % 2 == 0;
            if (call >= 24) {
                BanRegister other = processes.get(1 - call % 2);
                var before = at.bannedIds();
                List<String> changed = at.merge(other.marks());
                var differing = new java.util.TreeSet<>(before);
                differing.addAll(at.bannedIds());
                differing.removeIf(w -> before.contains(w) && at.isBanned(w));
                assertEquals(differing, new java.util.TreeSet<>(changed));
            } else {
                boolean was = at.isBanned(id);
                assertEquals(was != out, out ? at.ban(id, ++now) : at.unban(id, ++now));
                assertEquals(out, at.isBanned(id));
                last.put(id, out);
            }
        }
        processes.get(0).merge(processes.get(1).marks());
        processes.get(1).merge(processes.get(0).marks());
        assertEquals(processes.get(0).marks(), processes.get(1).marks());
        last.forEach((id, out) -> assertEquals(out, processes.get(0).isBanned(id), id));
    }

    @Example
    void aCallStandsOverWhatIsKnownAlsoWhereTheClockWentBack() {
        BanRegister bans = of(List.of(new BanMark("w1", true, 1_000)), List.of());
        assertTrue(bans.unban("w1", 10));
        assertEquals(List.of(new BanMark("w1", false, 1_001)), bans.marks());
        assertEquals(List.of(), bans.merge(List.of(new BanMark("w1", true, 1_000))));
    }

    @Example
    void bansAreKeptAndOldLiftedOnesGoAtTheBound() {
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
    void whatWasKeptComesBackAndNoDamageIsTakenForIt(@ForAll("marks") List<BanMark> some, @ForAll int where,
            @ForAll @IntRange(min = 1, max = 255) int flip) throws BanFileException {
        List<BanMark> marks = of(some, List.of()).marks();
        byte[] whole = BanFileCodec.encode(marks);
        assertEquals(marks, BanFileCodec.decode(whole));
        int at = Math.floorMod(where, whole.length);
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(Arrays.copyOf(whole, at)));
        byte[] damaged = whole.clone();
        damaged[at] ^= (byte) flip;
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(damaged));
    }

    @Example
    void fullestFileIsReadAndALongerOneIsNot() throws BanFileException {
        List<BanMark> marks = IntStream.range(0, BanRegister.MAX_MARKS)
                .mapToObj(i -> new BanMark(String.format("%0128d", i), true, 999_999_999_999_999_999L)).toList();
        assertEquals(marks, BanFileCodec.decode(BanFileCodec.encode(marks)));
        assertThrows(BanFileException.class, () -> BanFileCodec.decode(new byte[BanFileCodec.MAX_BYTES + 1]));
    }
}
