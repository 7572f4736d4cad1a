package wallmoor.rules;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Codec of files of records, each with its length and a CRC-32C checksum. A log file grows by one record per write: a
 * torn write leaves an incomplete last record, which is truncated. Any other damage is corruption and is never skipped,
 * as a vote or an entry that was acknowledged may follow it. A file that is replaced atomically ends with a closing
 * record that has the number of the other records; a file without it is invalid, and the previous file remains valid.
 */
public final class RecordFile {
    /** Maximum size of a record's payload. A snapshot of the state machine fits into one record. */
    public static final int MAX_RECORD_BYTES = 64 << 20;
    /** Start of each record: "WMr1" in ASCII. */
    private static final int MAGIC = 0x574d7231;
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    /**
     * The records of a log file.
     *
     * @param records     the payloads of all complete records
     * @param validLength length of the complete records in bytes; the caller truncates the file to it before it appends
     */
    public record DecodedRecords(List<byte[]> records, int validLength) {}

    private RecordFile() {}

    /** Encodes a record, which the caller appends in one write. */
    public static byte[] encodeRecord(byte[] payload) {
        if (payload.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "record payload of " + payload.length + " bytes exceeds the maximum of " + MAX_RECORD_BYTES);
        }
        var buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload, 0, payload.length)).put(payload);
        return buffer.array();
    }

    /**
     * Decodes a log file.
     *
     * @throws CorruptDataException if a damaged record is followed by a complete one
     */
    public static DecodedRecords decodeLog(byte[] file) throws CorruptDataException {
        var records = new ArrayList<byte[]>();
        int offset = 0;
        for (int next; (next = recordEnd(file, offset)) > 0; offset = next) {
            records.add(Arrays.copyOfRange(file, offset + HEADER_BYTES, next));
        }
        for (int later = offset + 1; later <= file.length - HEADER_BYTES; later++) {
            if (recordEnd(file, later) > 0) {
                throw new CorruptDataException("damaged record, which is followed by complete records,", offset);
            }
        }
        return new DecodedRecords(List.copyOf(records), offset);
    }

    /** Encodes a complete file of records with these payloads and the closing record. */
    public static byte[] encodeComplete(List<byte[]> payloads) {
        List<byte[]> records = payloads.stream().map(RecordFile::encodeRecord).toList();
        var buffer = ByteBuffer.allocate(records.stream().mapToInt(r -> r.length).sum() + HEADER_BYTES + Long.BYTES);
        records.forEach(buffer::put);
        return buffer.put(encodeRecord(closingPayload(payloads.size()))).array();
    }

    /**
     * Decodes a file that {@link #encodeComplete} encoded. The closing record is not returned.
     *
     * @throws CorruptDataException if the file is damaged or incomplete
     */
    public static List<byte[]> decodeComplete(byte[] file) throws CorruptDataException {
        DecodedRecords decoded = decodeLog(file);
        int last = decoded.records().size() - 1;
        if (decoded.validLength() != file.length || last < 0
                || !Arrays.equals(decoded.records().get(last), closingPayload(last))) {
            throw new CorruptDataException("incomplete file without a valid closing record", decoded.validLength());
        }
        return decoded.records().subList(0, last);
    }

    private static byte[] closingPayload(int recordCount) {
        return ByteBuffer.allocate(Long.BYTES).putInt(MAGIC).putInt(recordCount).array();
    }

    /** Returns the end of the record that starts at this offset; negative if there is no complete record. */
    private static int recordEnd(byte[] file, int offset) {
        if (file.length - offset < HEADER_BYTES) {
            return -1;
        }
        var header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        if (header.getInt() != MAGIC) {
            return -1;
        }
        int length = header.getInt();
        int checksum = header.getInt();
        return length < 0 || length > MAX_RECORD_BYTES || length > file.length - offset - HEADER_BYTES
                || checksum != checksum(file, offset + HEADER_BYTES, length)
                        ? -1 : offset + HEADER_BYTES + length;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
