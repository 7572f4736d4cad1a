package wallmoor.frames;

import java.nio.charset.StandardCharsets;

/**
 * Encodes frames to a worker: four bytes with the length of the rest, one byte with the frame's type, and the contents.
 */
final class FrameEncoder {
    private static final char CANCEL = 'X';
    private static final int LENGTH_BYTES = 4;

    private FrameEncoder() {}

    /** Encodes the frame that cancels a part. */
    static byte[] cancelFrame(String partId) {
        return encode(CANCEL, partId.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Encodes a frame. */
    static byte[] encode(char type, byte[] contents) {
        int length = 1 + contents.length;
        byte[] frame = new byte[LENGTH_BYTES + length];
        for (int i = 0; i < LENGTH_BYTES; i++) {
            frame[i] = (byte) (length >>> (Byte.SIZE * (LENGTH_BYTES - 1 - i)));
        }
        frame[LENGTH_BYTES] = (byte) type;
        System.arraycopy(contents, 0, frame, LENGTH_BYTES + 1, contents.length);
        return frame;
    }
}
