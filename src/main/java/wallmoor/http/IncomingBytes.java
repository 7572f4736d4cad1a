package wallmoor.http;

import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * A buffer of bytes between the selector's thread, which adds what was received on a connection, and the thread that
 * reads a request from it. The object is its own lock. An empty one retains no buffer, since most connections are idle.
 */
final class IncomingBytes extends InputStream {
    /**
     * The limit on unread bytes while a request is being handled. Reading continues beyond it, in order to detect that
     * the peer has closed, and the bytes are discarded.
     */
    static final int MAX_UNREAD_BYTES = 16 * 1024;
    /**
     * The limit on unread bytes while a request is incomplete: a request line and a head of the largest size, and a
     * body in chunks that takes as many bytes for its chunks' lines as for their content.
     */
    static final int MAX_REQUEST_BYTES = 2 * MessageSyntax.MAX_HEAD_BYTES + 2 * HttpReader.MAX_BODY_BYTES;
    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int position;
    private int limit;
    private boolean ended;
    private int timeoutMillis;
    private long arrivedAt;
    private boolean full;
    private boolean readingBeyondLimit;
    private boolean truncated;
    private final int maxUnreadBytes;
    private final Runnable resume;
    /** The number of bytes that may be read, while a reader may read one request only; negative for all bytes. */
    private int readable = -1;

    /**
     * Creates an empty buffer.
     *
     * @param maxUnreadBytes the number of unread bytes at which the peer is not read any further
     * @param resume         runs when a full buffer has been read, so that the channel is read again
     */
    IncomingBytes(int maxUnreadBytes, Runnable resume) {
        this.maxUnreadBytes = maxUnreadBytes;
        this.resume = resume;
    }

    /**
     * Adds bytes that were just received.
     *
     * @return false if the buffer is full and the channel should not be read until {@code resume} runs
     */
    synchronized boolean add(ByteBuffer from) {
        if (truncated || (readingBeyondLimit && unreadBytes() >= MAX_UNREAD_BYTES)) {
            truncated = true;
            return true;
        }
        int added = from.remaining();
        if (position == limit) {
            arrivedAt = System.nanoTime();
        }
        if (limit + added > bytes.length) {
            int unread = limit - position;
            byte[] larger = new byte[Math.max(INITIAL_BUFFER_BYTES, Math.max(unread + added, 2 * unread))];
            System.arraycopy(bytes, position, larger, 0, limit - position);
            bytes = larger;
            limit -= position;
            position = 0;
        }
        from.get(bytes, limit, added);
        limit += added;
        full = !readingBeyondLimit && unreadBytes() >= unreadLimit();
        notifyAll();
        return !full;
    }

    /**
     * Sets whether the peer is read beyond the limit on unread bytes. The bytes beyond it are then discarded, and the
     * stream ends after the bytes in the buffer: see {@link #truncated}.
     */
    synchronized void readBeyondLimit(boolean enabled) {
        readingBeyondLimit = enabled;
        if (enabled) {
            resumeIfFull();
        }
    }

    /** Returns whether bytes were discarded: the stream ends after the unread bytes. */
    synchronized boolean truncated() {
        return truncated;
    }

    /** Discards the unread bytes; the caller discards the ones received from now on. */
    synchronized void clear() {
        position = 0;
        limit = 0;
        bytes = EMPTY;
        resumeIfFull();
    }

    private void resumeIfFull() {
        if (full) {
            full = false;
            resume.run();
        }
    }

    /**
     * Looks for the end of the request that begins with the first unread byte. If the request is complete, the bytes of
     * that request alone can be read until the next call.
     */
    synchronized RequestScanner.Result scan(RequestScanner scanner) {
        RequestScanner.Result result = scanner.scan(bytes, position, limit);
        readable = result == RequestScanner.Result.COMPLETE ? scanner.length() : -1;
        if (unreadBytes() < unreadLimit()) {
            resumeIfFull();
        }
        return result;
    }

    /** Returns the number of unread bytes at which the peer is not read any further: less behind a complete request. */
    private int unreadLimit() {
        return readable < 0 ? maxUnreadBytes : Math.min(maxUnreadBytes, readable + MAX_UNREAD_BYTES);
    }

    /** Marks the end of the stream. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    synchronized boolean ended() {
        return ended;
    }

    /** Returns the size of the buffer in bytes. */
    synchronized int capacity() {
        return bytes.length;
    }

    synchronized int unreadBytes() {
        return limit - position;
    }

    /** Returns the time at which the first unread byte was received, by {@link System#nanoTime}. */
    synchronized long arrivedAt() {
        return arrivedAt;
    }

    /** Sets the timeout of a read; 0 means no timeout. */
    synchronized void setTimeoutMillis(int millis) {
        timeoutMillis = millis;
    }

    @Override
    public int read() throws InterruptedIOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public synchronized int read(byte[] to, int from, int length) throws InterruptedIOException {
        if (length > 0) {
            awaitBytes();
        }
        if (position == limit || readable == 0) {
            return length == 0 ? 0 : -1;
        }
        int count = Math.min(length, readable < 0 ? limit - position : readable);
        System.arraycopy(bytes, position, to, from, count);
        position += count;
        readable -= readable < 0 ? 0 : count;
        if (position == limit) {
            position = 0;
            limit = 0;
            bytes = EMPTY;
            resumeIfFull();
        }
        return count;
    }

    /** Waits until a byte can be read or the stream has ended, at most for the timeout. */
    private synchronized void awaitBytes() throws InterruptedIOException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while ((position == limit || readable == 0) && !ended && !truncated) {
                long remainingMillis = timeoutMillis == 0 ? 0
                        : TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime() + 999_999);
                if (remainingMillis < 0 || (remainingMillis == 0 && timeoutMillis != 0)) {
                    throw new SocketTimeoutException("no bytes received within " + timeoutMillis + " ms");
                }
                wait(remainingMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for bytes");
        }
    }
}
