package wallmoor.idempotency;

import java.util.Arrays;

/** A request body that arrives in chunks. Chunks may be repeated from any offset; gaps are not accepted. */
final class UploadBuffer {
    private final byte[] bytes;
    private int received;

    /** An empty buffer for a body of at most {@code capacity} bytes. */
    UploadBuffer(int capacity) {
        bytes = new byte[capacity];
    }

    int capacity() {
        return bytes.length;
    }

    /** Bytes received without a gap: the offset at which the next chunk is expected. */
    int received() {
        return received;
    }

    /**
     * Takes a chunk that starts at {@code offset}. What was received before is skipped; if it differs, the body is
     * another one under the same key, and the buffer starts anew so that the two are never mixed.
     *
     * @return whether the chunk was taken; otherwise the sender has to go on from {@link #received}
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
        int fresh = offset + chunk.length - received;
        if (fresh > 0) {
            System.arraycopy(chunk, chunk.length - fresh, bytes, received, fresh);
            received += fresh;
        }
        return true;
    }

    /** The bytes received so far. */
    byte[] toByteArray() {
        return Arrays.copyOf(bytes, received);
    }
}
