package wallmoor.http;

/** Bytes where they were read to. They are good until the next message is read; what must outlive it is copied. */
public record Slice(byte[] buffer, int from, int length) {
    /** No bytes. */
    public static final Slice EMPTY = new Slice(new byte[0], 0, 0);
}
