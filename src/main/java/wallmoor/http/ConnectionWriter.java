package wallmoor.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Writes answers to a connection's client; the writing thread waits while the client reads nothing. */
final class ConnectionWriter {
    private final ConnectionOutput output;
    /** The time at which the current write began, by {@link System#nanoTime}; 0 for none. */
    private volatile long startedAt;

    ConnectionWriter(ConnectionOutput output) {
        this.output = output;
    }

    /** Writes an answer. */
    void write(byte[] answer) throws IOException {
        startedAt = System.nanoTime();
        try {
            output.write(answer);
        } finally {
            startedAt = 0;
        }
    }

    /** Returns whether a write has taken longer than this. */
    boolean hasBeenWriting(long now, long millis) {
        long since = startedAt;
        return since != 0 && now - since > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Waits until the channel may accept bytes again, at most for this time. */
    void awaitWritable(long millis) throws IOException {
        try {
            synchronized (output) {
                output.wait(millis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while writing");
        }
    }

    /** Wakes up the writing thread, as the channel accepts bytes again. */
    void onWritable() {
        synchronized (output) {
            output.notifyAll();
        }
    }
}
