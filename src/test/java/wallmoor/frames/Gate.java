package wallmoor.frames;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** A gate at which a test blocks threads and waits for one to arrive. It is open at first. */
final class Gate {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private boolean closed;
    private int blockedThreads;

    /** Closes the gate: threads block at it from now on. */
    void close() {
        setClosed(true);
    }

    /** Opens the gate and releases all blocked threads. */
    void open() {
        setClosed(false);
    }

    private void setClosed(boolean isClosed) {
        lock.lock();
        try {
            closed = isClosed;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Passes the gate; blocks while it is closed. */
    void pass() {
        lock.lock();
        try {
            blockedThreads++;
            changed.signalAll();
            await(false);
            blockedThreads--;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until a thread is blocked at the gate. */
    void awaitBlocked() {
        lock.lock();
        try {
            await(true);
        } finally {
            lock.unlock();
        }
    }

    private void await(boolean forBlockedThread) {
        long remainingNanos = MAX_WAIT_NANOS;
        while (forBlockedThread ? blockedThreads == 0 : closed) {
            if (remainingNanos <= 0) {
                throw new IllegalStateException("timed out at a gate");
            }
            try {
                remainingNanos = changed.awaitNanos(remainingNanos);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }
}
