package wallmoor.frames;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import wallmoor.http.ByteSlice;

/** Cuts what comes on a connection into frames. Bounded in bytes by the longest frame, and in time once one began. */
final class FrameReader {
    private static final int MAX_FRAME_BYTES = 64 * 1024 + 1024;
    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 4096;
    /** A complete frame may take this many times as long as its worker may pause in it. */
    private static final int MAX_PAUSES = 4;

    private final Socket socket;
    private final InputStream in;
    private final int pauseMillis;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int end;
    /** When the first byte of the frame that is not complete yet was seen, by {@link System#nanoTime}. */
    private long begunAt;

    /** Reads from this socket; a frame that began to come in must go on coming within so many milliseconds. */
    FrameReader(Socket socket, int pauseMillis) throws IOException {
        this.socket = socket;
        this.pauseMillis = pauseMillis;
        in = socket.getInputStream();
    }

    /**
     * The next frame from its letter on, good until the next call; null at the end, or if nothing more can be trusted.
     */
    ByteSlice next() throws IOException {
        while (true) {
            int have = end - from;
            if (have > LENGTH_BYTES) {
                int length = length();
                if (length < 1 || length > MAX_FRAME_BYTES) {
                    return null;
                }
                if (have >= LENGTH_BYTES + length) {
                    var frame = new ByteSlice(buffer, from + LENGTH_BYTES, length);
                    from += LENGTH_BYTES + length;
                    begunAt = System.nanoTime();
                    return frame;
                }
            }
            if (!fill()) {
                return null;
            }
        }
    }

    /** Reads on; false at the end, or if a frame takes too long. */
    private boolean fill() throws IOException {
        System.arraycopy(buffer, from, buffer, 0, end - from);
        end -= from;
        from = 0;
        boolean begun = end > 0;
        if (begun && System.nanoTime() - begunAt > TimeUnit.MILLISECONDS.toNanos((long) MAX_PAUSES * pauseMillis)) {
            return false;
        }
        int wanted = end >= LENGTH_BYTES ? LENGTH_BYTES + Math.min(MAX_FRAME_BYTES, Math.max(1, length()))
                : LENGTH_BYTES + 1;
        if (wanted > buffer.length) {
            buffer = Arrays.copyOf(buffer, wanted);
        }
        socket.setSoTimeout(begun ? pauseMillis : 0); // one whose length is a lie may never end
        int n = in.read(buffer, end, buffer.length - end);
        if (n < 0) {
            return false;
        }
        if (!begun) {
            begunAt = System.nanoTime();
        }
        end += n;
        return true;
    }

    private int length() {
        int length = 0;
        for (int i = from; i < from + LENGTH_BYTES; i++) {
            length = (length << Byte.SIZE) | (buffer[i] & 0xff);
        }
        return length;
    }
}
