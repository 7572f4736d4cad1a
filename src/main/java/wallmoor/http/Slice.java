package wallmoor.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes where they were read to. They are good until the next message is read; what must outlive it is copied. */
public record Slice(byte[] buffer, int from, int length) {
    /** No bytes. */
    public static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** A copy that outlives the buffer. */
    public byte[] copy() {
        return Arrays.copyOfRange(buffer, from, from + length);
    }

    /** The bytes as text. */
    public String text() {
        return new String(buffer, from, length, StandardCharsets.UTF_8);
    }
}
