package wallmoor.http;

/** Bytes where they were read to. They are good until the next message is read; what must outlive it is copied. */
public record ByteSlice(byte[] buffer, int from, int length) {
    /** No bytes. */
    public static final ByteSlice EMPTY = new ByteSlice(new byte[0], 0, 0);
}
