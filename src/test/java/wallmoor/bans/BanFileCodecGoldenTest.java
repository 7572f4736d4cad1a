package wallmoor.bans;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.Test;

/** Golden ban files of an earlier version must decode to the same marks and encode to the same bytes. */
public class BanFileCodecGoldenTest {
    private static final List<BanMark> MARKS = List.of(new BanMark("w3", true, 1_700_000_000_000_002L),
            new BanMark("w!~\"4", true, 1_700_000_000_000_001L), new BanMark("w1", true, 0),
            new BanMark("x".repeat(BanFileCodec.MAX_ID_LENGTH), false, 999_999_999_999_999_999L),
            new BanMark("w2", false, 1_700_000_000_000_003L));

    @Test
    public void decodesAndEncodesGoldenFile() throws Exception {
        assertEquals(MARKS, BanFileCodec.decode(golden("bans")));
        assertArrayEquals(golden("bans"), BanFileCodec.encode(MARKS));
    }

    /** An empty register that merges the golden marks must encode them in the same order. */
    @Test
    public void encodesMergedMarksInOrderOfGoldenFile() throws Exception {
        var bans = new BanRegister();
        bans.merge(BanFileCodec.decode(golden("bans")));
        assertArrayEquals(golden("bans"), BanFileCodec.encode(bans.marks()));
    }

    @Test
    public void decodesAndEncodesGoldenFileWithoutMarks() throws Exception {
        assertEquals(List.of(), BanFileCodec.decode(golden("bans-empty")));
        assertArrayEquals(golden("bans-empty"), BanFileCodec.encode(List.of()));
    }

    private static byte[] golden(String name) throws IOException {
        try (var in = BanFileCodecGoldenTest.class.getResourceAsStream("/golden/bans/" + name)) {
            return in.readAllBytes();
        }
    }
}
