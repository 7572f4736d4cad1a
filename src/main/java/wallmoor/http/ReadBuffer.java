package wallmoor.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * The bytes received on a connection that {@link HttpReader} has not consumed, in one buffer that is filled on demand.
 * All reads of a message end at its deadline. Not thread-safe.
 */
final class ReadBuffer {
    private static final int INITIAL_BUFFER_BYTES = 2048;

    /** Sets the timeout of a read; 0 means no timeout. */
    private interface ReadTimeouts {
        void set(int millis) throws IOException;
    }

    private final ReadTimeouts timeoutSetter;
    private final IncomingBytes incoming;
    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int position;
    private int limit;
    private long deadline;
    /** The arrival time of the bytes read last, or an earlier time. */
    private long arrivedAt;

    ReadBuffer(Socket socket) throws IOException {
        this.timeoutSetter = socket::setSoTimeout;
        this.in = socket.getInputStream();
        this.incoming = null;
    }

    /** Creates a buffer of the bytes that a selector receives on a connection. */
    ReadBuffer(IncomingBytes incoming) {
        this.timeoutSetter = incoming::setTimeoutMillis;
        this.in = incoming;
        this.incoming = incoming;
    }

    boolean isEmpty() {
        return position == limit;
    }

    /** Frees a large buffer if all that was read has been consumed. Ranges of it are invalid after this. */
    void shrinkIfEmpty() {
        if (isEmpty()) {
            clear();
            if (buffer.length > 8 * INITIAL_BUFFER_BYTES) {
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
        }
    }

    private void clear() {
        position = 0;
        limit = 0;
    }

    /**
     * Waits for bytes; called while the buffer is empty.
     *
     * @param millis the timeout; 0 means no timeout
     * @return false if the peer closes the connection instead
     */
    boolean awaitFirst(int millis) throws IOException {
        timeoutSetter.set(millis);
        return readMore();
    }

    /** Returns the arrival time of the bytes read last, or an earlier time; by {@link System#nanoTime}. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Sets the time, by {@link System#nanoTime}, at which reads fail with status 408. */
    void setDeadline(long nanoTime) {
        deadline = nanoTime;
    }

    /**
     * Reads a line, without its end.
     *
     * @param maxBytes      the maximum length in bytes
     * @param tooLongStatus the status to answer with if the line is longer
     */
    String readLine(int maxBytes, int tooLongStatus) throws IOException, HttpProtocolException {
        for (int i = 0;; i++) {
            if (i > maxBytes) {
                throw new HttpProtocolException(tooLongStatus, "line too long");
            }
            if (position + i == limit) {
                fill(); // may move the line, but it still begins at 'position'
            }
            if (buffer[position + i] == '\n') {
                int length = i > 0 && buffer[position + i - 1] == '\r' ? i - 1 : i;
                String line = new String(buffer, position, length, StandardCharsets.ISO_8859_1);
                position += i + 1;
                return line;
            }
        }
    }

    /** Reads exactly this many bytes. */
    ByteSlice read(int length) throws IOException, HttpProtocolException {
        ensureCapacity(length);
        while (limit - position < length) {
            fill();
        }
        return take(length);
    }

    /** Reads the bytes that are available, at least one and at most {@code maxBytes}. */
    ByteSlice readAvailable(int maxBytes) throws IOException, HttpProtocolException {
        if (isEmpty()) {
            clear();
            fill();
        }
        return take(Math.min(limit - position, maxBytes));
    }

    /** Reads until the peer closes the connection; more than {@code maxBytes} are refused with status 413. */
    ByteSlice readUntilClose(int maxBytes) throws IOException, HttpProtocolException {
        try {
            while (limit - position <= maxBytes) {
                fill(); // may move the bytes, but they still begin at 'position'
            }
        } catch (EOFException e) {
            return take(limit - position);
        }
        throw new HttpProtocolException(413, "body too large");
    }

    private ByteSlice take(int length) {
        position += length;
        return new ByteSlice(buffer, position - length, length);
    }

    /** Ensures that the buffer has space for this many bytes from the current position on. */
    private void ensureCapacity(int length) {
        if (position + length > buffer.length) {
            buffer = Arrays.copyOfRange(buffer, position, position + length + INITIAL_BUFFER_BYTES);
            limit -= position;
            position = 0;
        }
    }

    private void fill() throws IOException, HttpProtocolException {
        if (limit == buffer.length) {
            ensureCapacity(2 * (limit - position) + 1);
        }
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        try {
            if (remainingMillis <= 0) {
                throw new SocketTimeoutException();
            }
            timeoutSetter.set((int) remainingMillis);
            if (!readMore()) {
                throw new EOFException("connection closed within a message");
            }
        } catch (SocketTimeoutException e) {
            throw new HttpProtocolException(408, "half a message, then silence");
        }
    }

    private boolean readMore() throws IOException {
        long bufferedSince = incoming != null && incoming.unreadBytes() > 0 ? incoming.arrivedAt() : 0;
        int count = in.read(buffer, limit, buffer.length - limit);
        limit += Math.max(0, count);
        arrivedAt = bufferedSince != 0 ? bufferedSince : System.nanoTime();
        return count > 0;
    }
}
