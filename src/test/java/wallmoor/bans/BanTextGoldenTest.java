package wallmoor.bans;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.Test;

/** Ban files as an earlier version wrote them: read with the same meaning, and written with the same bytes. */
public class BanTextGoldenTest {
    private static final List<Mark> MARKS = List.of(new Mark("w3", true, 1_700_000_000_000_002L),
            new Mark("w!~\"4", true, 1_700_000_000_000_001L), new Mark("w1", true, 0),
            new Mark("x".repeat(BanText.LONGEST_ID), false, 999_999_999_999_999_999L),
            new Mark("w2", false, 1_700_000_000_000_003L));

    @Test
    public void aFileOfBansAndLiftedBansIsReadAndWrittenAlike() throws Exception {
        assertEquals(MARKS, BanText.decode(golden("bans")));
        assertArrayEquals(golden("bans"), BanText.encode(MARKS));
    }

    /** Merged into a process that holds nothing, the marks are written in the same order. */
    @Test
    public void theOrderOfTheLinesIsThatOfTheMarks() throws Exception {
        var bans = new Bans();
        bans.merge(BanText.decode(golden("bans")));
        assertArrayEquals(golden("bans"), BanText.encode(bans.marks()));
    }

    @Test
    public void anEmptyFileIsReadAndWrittenAlike() throws Exception {
        assertEquals(List.of(), BanText.decode(golden("bans-empty")));
        assertArrayEquals(golden("bans-empty"), BanText.encode(List.of()));
    }

    private static byte[] golden(String name) throws IOException {
        try (var in = BanTextGoldenTest.class.getResourceAsStream("/golden/bans/" + name)) {
            return in.readAllBytes();
        }
    }
}
