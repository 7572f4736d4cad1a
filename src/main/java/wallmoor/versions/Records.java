package wallmoor.versions;

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
public final class Records {
    /** Bytes of one record: a saved ledger fits. */
    public static final int MOST = 64 << 20;
    private static final int MAGIC = 0x574d7231;
    private static final int HEAD = 3 * Integer.BYTES;

    /**
     * What a file holds.
     *
     * @param records all whole ones
     * @param length  bytes that they take: what is behind is torn, and is cut before more is written
     */
    public record Read(List<byte[]> records, int length) {}

    private Records() {}

    /** A record as it is appended in one write. */
    public static byte[] write(byte[] payload) {
        if (payload.length > MOST) {
            throw new IllegalArgumentException("a record of " + payload.length + " bytes; " + MOST + " at most");
        }
        var to = ByteBuffer.allocate(HEAD + payload.length);
        to.putInt(MAGIC).putInt(payload.length).putInt(sum(payload, 0, payload.length)).put(payload);
        return to.array();
    }

    /** The records of a file that grows. */
    public static Read read(byte[] file) throws DamagedException {
        var records = new ArrayList<byte[]>();
        int at = 0;
        for (int next; (next = next(file, at)) > 0; at = next) {
            records.add(Arrays.copyOfRange(file, at + HEAD, next));
        }
        for (int later = at + 1; later <= file.length - HEAD; later++) {
            if (next(file, later) > 0) {
                throw new DamagedException("a record is damaged, and whole ones follow it", at);
            }
        }
        return new Read(List.copyOf(records), at);
    }

    /** A whole file of these records. */
    public static byte[] whole(List<byte[]> payloads) {
        List<byte[]> written = payloads.stream().map(Records::write).toList();
        var to = ByteBuffer.allocate(written.stream().mapToInt(w -> w.length).sum() + HEAD + Long.BYTES);
        written.forEach(to::put);
        return to.put(write(closing(payloads.size()))).array();
    }

    /** The records of a file that was written as a whole, without the one that closes it. */
    public static List<byte[]> readWhole(byte[] file) throws DamagedException {
        Read read = read(file);
        int last = read.records().size() - 1;
        if (read.length() != file.length || last < 0 || !Arrays.equals(read.records().get(last), closing(last))) {
            throw new DamagedException("a file was not written to its end", read.length());
        }
        return read.records().subList(0, last);
    }

    private static byte[] closing(int count) {
        return ByteBuffer.allocate(Long.BYTES).putInt(MAGIC).putInt(count).array();
    }

    /** Where the record ends that begins here; negative where none does that is whole. */
    private static int next(byte[] file, int at) {
        if (file.length - at < HEAD) {
            return -1;
        }
        var head = ByteBuffer.wrap(file, at, HEAD);
        if (head.getInt() != MAGIC) {
            return -1;
        }
        int length = head.getInt();
        int sum = head.getInt();
        return length < 0 || length > MOST || length > file.length - at - HEAD || sum != sum(file, at + HEAD, length)
                ? -1 : at + HEAD + length;
    }

    private static int sum(byte[] of, int from, int length) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
        crc.update(of, from, length);
        return (int) crc.getValue();
    }
}
