package wallmoor.rules;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Codec of files of records, each with its length and a CRC-32C. A log file grows by one record a write: a torn write
 * leaves an incomplete last record, which is cut. Any other fault is corruption and is never skipped, as a vote or an
 * entry that was confirmed may stand behind it. A file that is replaced as a whole ends with a record that counts the
 * others; without that record the file before it holds.
 */
public final class RecordFile {
    /** Bytes of one record's payload: a snapshot of the state machine fits. */
    public static final int MAX_RECORD_BYTES = 64 << 20;
    private static final int MAGIC = 0x574d7231;
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    /**
     * The records of a log file.
     *
     * @param records     all complete ones
     * @param validLength bytes that they take: what follows is torn, and is to be cut before more is written
     */
    public record DecodedRecords(List<byte[]> records, int validLength) {}

    private RecordFile() {}

    /** Encodes a record to be appended in one write. */
    public static byte[] encodeRecord(byte[] payload) {
        if (payload.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "a record of " + payload.length + " bytes; " + MAX_RECORD_BYTES + " at most");
        }
        var to = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        to.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload, 0, payload.length)).put(payload);
        return to.array();
    }

    /**
     * Decodes a log file.
     *
     * @throws CorruptDataException if a damaged record is followed by a complete one
     */
    public static DecodedRecords decodeLog(byte[] file) throws CorruptDataException {
        var records = new ArrayList<byte[]>();
        int at = 0;
        for (int next; (next = recordEnd(file, at)) > 0; at = next) {
            records.add(Arrays.copyOfRange(file, at + HEADER_BYTES, next));
        }
        for (int later = at + 1; later <= file.length - HEADER_BYTES; later++) {
            if (recordEnd(file, later) > 0) {
                throw new CorruptDataException("a record is damaged, and whole ones follow it", at);
            }
        }
        return new DecodedRecords(List.copyOf(records), at);
    }

    /** Encodes a complete file of these records, with the record that closes it. */
    public static byte[] encodeComplete(List<byte[]> payloads) {
        List<byte[]> written = payloads.stream().map(RecordFile::encodeRecord).toList();
        var to = ByteBuffer.allocate(written.stream().mapToInt(w -> w.length).sum() + HEADER_BYTES + Long.BYTES);
        written.forEach(to::put);
        return to.put(encodeRecord(closing(payloads.size()))).array();
    }

    /**
     * Decodes a file written by {@link #encodeComplete}, without the record that closes it.
     *
     * @throws CorruptDataException if the file is damaged or was not written to its end
     */
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

    /** Returns where the record ends that begins here; negative where no complete one does. */
    private static int recordEnd(byte[] file, int at) {
        if (file.length - at < HEADER_BYTES) {
            return -1;
        }
        var head = ByteBuffer.wrap(file, at, HEADER_BYTES);
        if (head.getInt() != MAGIC) {
            return -1;
        }
        int length = head.getInt();
        int checksum = head.getInt();
        return length < 0 || length > MAX_RECORD_BYTES || length > file.length - at - HEADER_BYTES
                || checksum != checksum(file, at + HEADER_BYTES, length)
                        ? -1 : at + HEADER_BYTES + length;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
