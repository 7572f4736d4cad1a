package wallmoor.frames;

import java.nio.charset.StandardCharsets;

/** Encodes frames to a worker: a length of four bytes, which counts the rest, then a letter and the contents. */
final class FrameEncoder {
    private static final char CANCEL = 'X';
    private static final int LENGTH_BYTES = 4;

    private FrameEncoder() {}

    /** The frame that cancels a part. */
    static byte[] cancelFrame(String partId) {
        return frame(CANCEL, partId.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A frame of this letter and contents. */
    static byte[] frame(char letter, byte[] contents) {
        int length = 1 + contents.length;
        byte[] frame = new byte[LENGTH_BYTES + length];
        for (int i = 0; i < LENGTH_BYTES; i++) {
            frame[i] = (byte) (length >>> (Byte.SIZE * (LENGTH_BYTES - 1 - i)));
        }
        frame[LENGTH_BYTES] = (byte) letter;
        System.arraycopy(contents, 0, frame, LENGTH_BYTES + 1, contents.length);
        return frame;
    }
}
