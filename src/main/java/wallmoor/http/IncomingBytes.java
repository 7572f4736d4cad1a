package wallmoor.http;

import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Bytes on their way from the thread that watches all connections to the one that reads a request. It is its own lock;
 * with nothing in it it holds no buffer, as most connections rest.
 */
final class IncomingBytes extends InputStream {
    /**
     * So much waits unread at most: a reader that has fallen behind is filled up no further, and the peer waits. While
     * a request is at work the peer is read on beyond that, so that its close is seen behind whatever it sent.
     */
    static final int MOST = 16 * 1024;
    private static final int FIRST = 1024;
    private static final byte[] NONE = new byte[0];

    private byte[] bytes = NONE;
    private int at;
    private int end;
    private boolean ended;
    private int timeoutMillis;
    private long arrivedAt;
    private boolean full;
    private boolean readingOn;
    private boolean truncated;
    private final Runnable resume;

    /** One that asks for more by this once it was full and has been read. */
    IncomingBytes(Runnable resume) {
        this.resume = resume;
    }

    /** Takes what is there, which the peer said now; false if nothing more is wanted until it asks. */
    synchronized boolean add(ByteBuffer from) {
        if (truncated || (readingOn && waiting() >= MOST)) {
            truncated = true;
            return true;
        }
        int more = from.remaining();
        if (at == end) {
            arrivedAt = System.nanoTime();
        }
        if (end + more > bytes.length) {
            byte[] larger = new byte[Math.max(FIRST, 2 * (end - at + more))];
            System.arraycopy(bytes, at, larger, 0, end - at);
            bytes = larger;
            end -= at;
            at = 0;
        }
        from.get(bytes, end, more);
        end += more;
        full = !readingOn && waiting() >= MOST;
        notifyAll();
        return !full;
    }

    /**
     * Whether the peer is read on however much is unread. What it sends beyond the bound is discarded then, and the
     * feed ends with what it holds: see {@link #truncated}.
     */
    synchronized void readOn(boolean on) {
        readingOn = on;
        if (on) {
            wantMore();
        }
    }

    /** Whether bytes were discarded: what is unread is all that can still be read. */
    synchronized boolean truncated() {
        return truncated;
    }

    /** Forgets what is unread; what comes from here on is thrown away by whoever brings it. */
    synchronized void clear() {
        at = 0;
        end = 0;
        bytes = NONE;
        wantMore();
    }

    private void wantMore() {
        if (full) {
            full = false;
            resume.run();
        }
    }

    /** Nothing more comes. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    synchronized boolean ended() {
        return ended;
    }

    synchronized int waiting() {
        return end - at;
    }

    /** When the first of what is unread came, by {@link System#nanoTime}. */
    synchronized long arrivedAt() {
        return arrivedAt;
    }

    /** A read waits for so long, for ever if 0. */
    synchronized void timeout(int millis) {
        timeoutMillis = millis;
    }

    @Override
    public int read() throws InterruptedIOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public synchronized int read(byte[] to, int from, int length) throws InterruptedIOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (at == end && !ended && !truncated && length > 0) {
                long left = timeoutMillis == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime() + 999_999);
                if (left < 0 || (left == 0 && timeoutMillis != 0)) {
                    throw new SocketTimeoutException("nothing came in " + timeoutMillis + " ms");
                }
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("told to stop reading");
        }
        if (at == end) {
            return length == 0 ? 0 : -1;
        }
        int n = Math.min(length, end - at);
        System.arraycopy(bytes, at, to, from, n);
        at += n;
        if (at == end) {
            at = 0;
            end = 0;
            bytes = NONE;
            wantMore();
        }
        return n;
    }
}
