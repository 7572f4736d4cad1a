package wallmoor.frames;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** A place in a thread's way where a test holds it, and sees that it has come there. Open at first. */
final class Gate {
    private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private boolean shut;
    private int held;

    /** Holds who comes from now on. */
    void shut() {
        set(true);
    }

    /** Lets all go on. */
    void open() {
        set(false);
    }

    private void set(boolean to) {
        lock.lock();
        try {
            shut = to;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Who comes by; held while it is shut. */
    void pass() {
        lock.lock();
        try {
            held++;
            changed.signalAll();
            await(false);
            held--;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until somebody is held here. */
    void awaitHeld() {
        lock.lock();
        try {
            await(true);
        } finally {
            lock.unlock();
        }
    }

    private void await(boolean someoneHeld) {
        long left = LONGEST_WAIT_NANOS;
        while (someoneHeld ? held == 0 : shut) {
            if (left <= 0) {
                throw new IllegalStateException("nothing came for too long");
            }
            try {
                left = changed.awaitNanos(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }
}
