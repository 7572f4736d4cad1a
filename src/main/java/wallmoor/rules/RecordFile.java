package wallmoor.rules;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records as bytes of a file, and back. A log grows by one record a write: a record whose write was torn is the last
 * one, and is cut. Anything else that is not as written is damage, which nobody may skip: what was promised may stand
 * behind it. What replaces a file as a whole is closed by a record that counts the others: without it, the file before
 * it holds.
 */
public final class RecordFile {
    /** Bytes of one record: a saved ledger fits. */
    public static final int MAX_RECORD_BYTES = 64 << 20;
    private static final int MAGIC = 0x574d7231;
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    /**
     * What a file holds.
     *
     * @param records all whole ones
     * @param validLength  bytes that they take: what is behind is torn, and is cut before more is written
     */
    public record DecodedRecords(List<byte[]> records, int validLength) {}

    private RecordFile() {}

    /** A record as it is appended in one write. */
    public static byte[] encodeRecord(byte[] payload) {
        if (payload.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "a record of " + payload.length + " bytes; " + MAX_RECORD_BYTES + " at most");
        }
        var to = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        to.putInt(MAGIC).putInt(payload.length).putInt(sum(payload, 0, payload.length)).put(payload);
        return to.array();
    }

    /** The records of a file that grows. */
    public static DecodedRecords decodeLog(byte[] file) throws CorruptDataException {
        var records = new ArrayList<byte[]>();
        int at = 0;
        for (int next; (next = next(file, at)) > 0; at = next) {
            records.add(Arrays.copyOfRange(file, at + HEADER_BYTES, next));
        }
        for (int later = at + 1; later <= file.length - HEADER_BYTES; later++) {
            if (next(file, later) > 0) {
                throw new CorruptDataException("a record is damaged, and whole ones follow it", at);
            }
        }
        return new DecodedRecords(List.copyOf(records), at);
    }

    /** A whole file of these records. */
    public static byte[] encodeComplete(List<byte[]> payloads) {
        List<byte[]> written = payloads.stream().map(RecordFile::encodeRecord).toList();
        var to = ByteBuffer.allocate(written.stream().mapToInt(w -> w.length).sum() + HEADER_BYTES + Long.BYTES);
        written.forEach(to::put);
        return to.put(encodeRecord(closing(payloads.size()))).array();
    }

    /** The records of a file that was written as a whole, without the one that closes it. */
    public static List<byte[]> decodeComplete(byte[] file) throws CorruptDataException {
        DecodedRecords read = decodeLog(file);
        int last = read.records().size() - 1;
        if (read.validLength() != file.length || last < 0 || !Arrays.equals(read.records().get(last), closing(last))) {
            throw new CorruptDataException("a file was not written to its end", read.validLength());
        }
        return read.records().subList(0, last);
    }

    private static byte[] closing(int count) {
        return ByteBuffer.allocate(Long.BYTES).putInt(MAGIC).putInt(count).array();
    }

    /** Where the record ends that begins here; negative where none does that is whole. */
    private static int next(byte[] file, int at) {
        if (file.length - at < HEADER_BYTES) {
            return -1;
        }
        var head = ByteBuffer.wrap(file, at, HEADER_BYTES);
        if (head.getInt() != MAGIC) {
            return -1;
        }
        int length = head.getInt();
        int sum = head.getInt();
        return length < 0 || length > MAX_RECORD_BYTES || length > file.length - at - HEADER_BYTES
                || sum != sum(file, at + HEADER_BYTES, length)
                        ? -1 : at + HEADER_BYTES + length;
    }

    private static int sum(byte[] of, int from, int length) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
        crc.update(of, from, length);
        return (int) crc.getValue();
    }
}
