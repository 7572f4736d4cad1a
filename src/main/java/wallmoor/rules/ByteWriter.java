package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds bytes for {@link ByteReader}: integers of eight bytes, big-endian; texts in UTF-8 and byte arrays, each after
 * its length. Its buffer grows as needed. Not thread-safe.
 */
public final class ByteWriter {
    private static final int INITIAL_BYTES = 256;

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int size;

    /** Appends an integer of eight bytes, big-endian. */
    public ByteWriter writeLong(long value) {
        reserve(Long.BYTES).putLong(value);
        return this;
    }

    /** Appends a text after its length in bytes. */
    public ByteWriter writeText(String text) {
        return writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Appends all fields of a document, including its hash. */
    public ByteWriter writeDocument(RuleDocument document) {
        return writeText(document.name()).writeLong(document.version()).writeLong(document.parentVersion())
                .writeText(document.parentHash()).writeText(document.author()).writeText(document.body())
                .writeText(document.fallback()).writeText(document.hash());
    }

    /** Appends a byte array after its length. */
    public ByteWriter writeBytes(byte[] bytes) {
        writeLong(bytes.length);
        reserve(bytes.length).put(bytes);
        return this;
    }

    /** Returns a copy of all bytes written so far. */
    public byte[] toByteArray() {
        return Arrays.copyOf(buffer, size);
    }

    private ByteBuffer reserve(int bytes) {
        if (buffer.length - size < bytes) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
        ByteBuffer reserved = ByteBuffer.wrap(buffer, size, bytes);
        size += bytes;
        return reserved;
    }
}
