package wallmoor.frames;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import wallmoor.http.ByteSlice;

/**
 * Splits the bytes received on a connection into frames. The buffer is bounded by the longest frame, and the time to
 * receive a frame is bounded from its first byte on.
 */
final class FrameReader {
    private static final int MAX_FRAME_BYTES = 64 * 1024 + 1024;
    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 4096;
    /** The maximum time to receive a frame, in multiples of the maximum pause within it. */
    private static final int MAX_PAUSES = 4;

    private final Socket socket;
    private final InputStream in;
    private final int pauseMillis;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int end;
    /** The time at which the first byte of the incomplete frame was read, by {@link System#nanoTime}. */
    private long frameStart;

    /**
     * Creates a reader of a socket.
     *
     * @param pauseMillis the maximum pause between two reads within a frame
     */
    FrameReader(Socket socket, int pauseMillis) throws IOException {
        this.socket = socket;
        this.pauseMillis = pauseMillis;
        in = socket.getInputStream();
    }

    /**
     * Returns the next frame without its length, valid until the next call; null at the end of the stream, or if a
     * frame has an invalid length or takes too long.
     */
    ByteSlice next() throws IOException {
        while (true) {
            int available = end - from;
            if (available > LENGTH_BYTES) {
                int length = frameLength();
                if (length < 1 || length > MAX_FRAME_BYTES) {
                    return null;
                }
                if (available >= LENGTH_BYTES + length) {
                    var frame = new ByteSlice(buffer, from + LENGTH_BYTES, length);
                    from += LENGTH_BYTES + length;
                    frameStart = System.nanoTime();
                    return frame;
                }
            }
            if (!fill()) {
                return null;
            }
        }
    }

    /** Reads more bytes. Returns false at the end of the stream, or if a frame takes too long. */
    private boolean fill() throws IOException {
        System.arraycopy(buffer, from, buffer, 0, end - from);
        end -= from;
        from = 0;
        boolean hasPartialFrame = end > 0;
        if (hasPartialFrame
                && System.nanoTime() - frameStart > TimeUnit.MILLISECONDS.toNanos((long) MAX_PAUSES * pauseMillis)) {
            return false;
        }
        int requiredBytes = end >= LENGTH_BYTES ? LENGTH_BYTES + Math.min(MAX_FRAME_BYTES, Math.max(1, frameLength()))
                : LENGTH_BYTES + 1;
        if (requiredBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, requiredBytes);
        }
        socket.setSoTimeout(hasPartialFrame ? pauseMillis : 0); // a frame with a wrong length may never end
        int count = in.read(buffer, end, buffer.length - end);
        if (count < 0) {
            return false;
        }
        if (!hasPartialFrame) {
            frameStart = System.nanoTime();
        }
        end += count;
        return true;
    }

    private int frameLength() {
        int length = 0;
        for (int i = from; i < from + LENGTH_BYTES; i++) {
            length = (length << Byte.SIZE) | (buffer[i] & 0xff);
        }
        return length;
    }
}
