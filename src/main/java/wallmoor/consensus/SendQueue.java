package wallmoor.consensus;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A bounded queue of frames that other threads have passed to the transport thread and that are not yet assigned to a
 * connection.
 */
final class SendQueue {
    private static final int MAX_FRAMES = 4_096;
    private static final long MAX_BYTES = 2L * FramedConnection.MAX_PAYLOAD_BYTES;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger frames = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();

    /** Queues the sending of a frame, and returns false if the queue is full. May be called by any thread. */
    boolean offer(byte[] frame, Runnable send) {
        if (frames.get() >= MAX_FRAMES || bytes.get() > MAX_BYTES) {
            return false;
        }
        frames.incrementAndGet();
        bytes.addAndGet(frame.length);
        tasks.add(() -> {
            frames.decrementAndGet();
            bytes.addAndGet(-frame.length);
            send.run();
        });
        return true;
    }

    /** Runs the queued sends. Runs on the transport thread. */
    void drain() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }
}
