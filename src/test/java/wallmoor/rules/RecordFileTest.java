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

/** Tests decoding of files that are truncated at each byte or have a damaged byte. */
class RecordFileTest {
    private static final List<byte[]> PAYLOADS = List.of(new byte[] {1, 2, 3}, new byte[0],
            "the last one".getBytes(UTF_8));

    private static byte[] encodeAll(List<byte[]> payloads) {
        byte[] all = {};
        for (byte[] payload : payloads) {
            byte[] record = RecordFile.encodeRecord(payload);
            int before = all.length;
            all = Arrays.copyOf(all, before + record.length);
            System.arraycopy(record, 0, all, before, record.length);
        }
        return all;
    }

    private static void assertPayloads(List<byte[]> expected, List<byte[]> actual) {
        assertEquals(expected.size(), actual.size());
        IntStream.range(0, actual.size()).forEach(i -> assertArrayEquals(expected.get(i), actual.get(i)));
    }

    /**
     * Truncates a file at each byte, with nothing, zeros or other bytes after it, as a file system may leave them after
     * a crash. All complete records must be decoded.
     */
    @Example
    void truncatesTornLastRecordAtEachByte() throws Exception {
        byte[] file = encodeAll(PAYLOADS);
        int[] ends = {0, 15, 27, 27 + 24};
        assertEquals(ends[3], file.length);
        for (int cut = 0; cut <= file.length; cut++) {
            int complete = cut >= ends[3] ? 3 : cut >= ends[2] ? 2 : cut >= ends[1] ? 1 : 0;
            for (int extra : new int[] {0, 7, 100}) {
                for (byte fill : new byte[] {0, 0x57, -1}) {
                    byte[] torn = Arrays.copyOf(file, cut + extra);
                    Arrays.fill(torn, cut, torn.length, fill);
                    if (extra > 0 && cut < file.length && file[cut] == fill) {
                        continue; // the fill byte equals the next byte of the file
                    }
                    RecordFile.DecodedRecords decoded = RecordFile.decodeLog(torn);
                    assertEquals(ends[complete], decoded.validLength(), "cut at " + cut + ", extra bytes " + extra);
                    assertPayloads(PAYLOADS.subList(0, complete), decoded.records());
                }
            }
        }
    }

    /** Damage in the last record looks like a torn write. Damage before it is an error, and no record is skipped. */
    @Example
    void rejectsDamageBeforeLastRecord() throws Exception {
        byte[] file = encodeAll(PAYLOADS);
        for (int offset = 0; offset < file.length; offset++) {
            byte[] damaged = file.clone();
            damaged[offset] ^= 0x20;
            if (offset < 27) {
                assertThrows(CorruptDataException.class, () -> RecordFile.decodeLog(damaged), "byte " + offset);
            } else {
                assertPayloads(PAYLOADS.subList(0, 2), RecordFile.decodeLog(damaged).records());
            }
        }
    }

    @Example
    void rejectsTruncatedCompleteFile() throws Exception {
        byte[] file = RecordFile.encodeComplete(PAYLOADS);
        assertPayloads(PAYLOADS, RecordFile.decodeComplete(file));
        for (int cut = 0; cut < file.length; cut++) {
            byte[] torn = Arrays.copyOf(file, cut);
            assertThrows(CorruptDataException.class, () -> RecordFile.decodeComplete(torn), "cut at " + cut);
        }
    }

    /** Tests that all records are decoded and a torn last one is dropped, even if a payload looks like a record. */
    @Property(tries = 200, seed = "8")
    void decodesEncodedPayloadsAndDropsTornLastRecord(@ForAll List<@Size(max = 40) byte[]> payloads,
            @ForAll @IntRange(min = 0, max = 39) int cut)
            throws Exception {
        var all = new ArrayList<>(payloads);
        all.add(new byte[cut]);
        assertPayloads(all, RecordFile.decodeLog(encodeAll(all)).records());
        byte[] file = encodeAll(all);
        assertPayloads(payloads, RecordFile.decodeLog(Arrays.copyOf(file, file.length - 1 - cut / 4)).records());
    }
}
