package wallmoor.rules;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Kept bytes: every torn prefix, every damaged byte. */
class RecordFileTest {
    private static final List<byte[]> THREE = List.of(new byte[] {1, 2, 3}, new byte[0],
            "the last one".getBytes(UTF_8));

    private static byte[] file(List<byte[]> payloads) {
        byte[] all = {};
        for (byte[] p : payloads) {
            byte[] record = RecordFile.encodeRecord(p);
            int before = all.length;
            all = Arrays.copyOf(all, before + record.length);
            System.arraycopy(record, 0, all, before, record.length);
        }
        return all;
    }

    private static void assertSame(List<byte[]> expected, List<byte[]> read) {
        assertEquals(expected.size(), read.size());
        IntStream.range(0, read.size()).forEach(i -> assertArrayEquals(expected.get(i), read.get(i)));
    }

    /** Cut at each byte, and the rest zeros or rubbish as a file system may leave it: what was whole before stays. */
    @Example
    void everyTornTailIsCut() throws Exception {
        byte[] file = file(THREE);
        int[] ends = {0, 15, 27, 27 + 24};
        assertEquals(ends[3], file.length);
        for (int cut = 0; cut <= file.length; cut++) {
            int whole = cut >= ends[3] ? 3 : cut >= ends[2] ? 2 : cut >= ends[1] ? 1 : 0;
            for (int behind : new int[] {0, 7, 100}) {
                for (byte fill : new byte[] {0, 0x57, -1}) {
                    byte[] torn = Arrays.copyOf(file, cut + behind);
                    Arrays.fill(torn, cut, torn.length, fill);
                    if (behind > 0 && cut < file.length && file[cut] == fill) {
                        continue; // that byte would have been written all the same
                    }
                    RecordFile.DecodedRecords read = RecordFile.decodeLog(torn);
                    assertEquals(ends[whole], read.validLength(), cut + " " + behind);
                    assertSame(THREE.subList(0, whole), read.records());
                }
            }
        }
    }

    /** A byte changed in the last record looks torn; anywhere before, it is told and nothing is skipped. */
    @Example
    void damageBeforeTheLastRecordIsTold() throws Exception {
        byte[] file = file(THREE);
        for (int at = 0; at < file.length; at++) {
            byte[] bad = file.clone();
            bad[at] ^= 0x20;
            if (at < 27) {
                assertThrows(CorruptDataException.class, () -> RecordFile.decodeLog(bad), "byte " + at);
            } else {
                assertSame(THREE.subList(0, 2), RecordFile.decodeLog(bad).records());
            }
        }
    }

    @Example
    void aReplacementThatIsNotWholeIsNone() throws Exception {
        byte[] file = RecordFile.encodeComplete(THREE);
        assertSame(THREE, RecordFile.decodeComplete(file));
        for (int cut = 0; cut < file.length; cut++) {
            byte[] torn = Arrays.copyOf(file, cut);
            assertThrows(CorruptDataException.class, () -> RecordFile.decodeComplete(torn), "cut at " + cut);
        }
    }

    /** A record whose contents look like a record does not hide a torn one. */
    @Property(tries = 200, seed = "8")
    void whatIsWrittenIsRead(@ForAll List<@Size(max = 40) byte[]> payloads,
            @ForAll @IntRange(min = 0, max = 39) int cut)
            throws Exception {
        var all = new ArrayList<>(payloads);
        all.add(new byte[cut]);
        assertSame(all, RecordFile.decodeLog(file(all)).records());
        byte[] file = file(all);
        assertSame(payloads, RecordFile.decodeLog(Arrays.copyOf(file, file.length - 1 - cut / 4)).records());
    }
}
