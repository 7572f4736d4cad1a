package wallmoor.http;

import java.util.Arrays;

/** A range of a read buffer, valid until the next message is read; bytes needed for longer must be copied. */
public record ByteSlice(byte[] buffer, int from, int length) {
    /** The empty range. */
    public static final ByteSlice EMPTY = new ByteSlice(new byte[0], 0, 0);

    /** Returns a range with a buffer of its own, which stays valid. */
    public ByteSlice copy() {
        return new ByteSlice(Arrays.copyOfRange(buffer, from, from + length), 0, length);
    }
}
