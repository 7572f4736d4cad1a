package wallmoor.idempotency;

import java.util.Arrays;

/** A request body that arrives in chunks. Chunks may be repeated from any offset; gaps are not accepted. */
final class UploadBuffer {
    private final byte[] bytes;
    private int received;

    /** Creates an empty buffer for a body of at most {@code capacity} bytes. */
    UploadBuffer(int capacity) {
        bytes = new byte[capacity];
    }

    int capacity() {
        return bytes.length;
    }

    /** Returns the number of bytes received without a gap, which is the offset of the next expected chunk. */
    int received() {
        return received;
    }

    /**
     * Appends a chunk that starts at {@code offset}. Bytes that were received before are skipped. If they differ, the
     * chunk belongs to another body under the same key, and the buffer is reset so that the two are never mixed.
     *
     * @return whether the chunk was accepted; otherwise the sender must continue from {@link #received}
     */
    boolean append(int offset, byte[] chunk) {
        if (offset > received || offset + chunk.length > bytes.length) {
            return false;
        }
        int overlap = Math.min(chunk.length, received - offset);
        if (!Arrays.equals(chunk, 0, overlap, bytes, offset, offset + overlap)) {
            received = 0;
            if (offset != 0) {
                return false;
            }
        }
        int newBytes = offset + chunk.length - received;
        if (newBytes > 0) {
            System.arraycopy(chunk, chunk.length - newBytes, bytes, received, newBytes);
            received += newBytes;
        }
        return true;
    }

    /** Returns a copy of the bytes received so far. */
    byte[] toByteArray() {
        return Arrays.copyOf(bytes, received);
    }
}
