package wallmoor.http;

/** A range of a read buffer, valid until the next message is read; bytes needed for longer must be copied. */
public record ByteSlice(byte[] buffer, int from, int length) {
    /** The empty range. */
    public static final ByteSlice EMPTY = new ByteSlice(new byte[0], 0, 0);
}
