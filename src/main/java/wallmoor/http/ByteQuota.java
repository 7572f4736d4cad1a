package wallmoor.http;

import java.util.concurrent.atomic.AtomicLong;

/** A number of bytes that threads take from and give back to without waiting. Thread-safe. */
final class ByteQuota {
    private final long capacityBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a quota of which nothing is used. */
    ByteQuota(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Takes bytes if so many are left, or if none are used: a request larger than the quota is served by itself. */
    boolean tryTake(long bytes) {
        long used = usedBytes.get();
        while (used == 0 || bytes <= capacityBytes - used) {
            if (usedBytes.compareAndSet(used, used + bytes)) {
                return true;
            }
            used = usedBytes.get();
        }
        return false;
    }

    /** Takes bytes that are in use already, whether or not they are left; negative ones are given back. */
    void add(long bytes) {
        usedBytes.addAndGet(bytes);
    }

    /** Gives bytes back. */
    void giveBack(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns whether more bytes are used than there are. */
    boolean isExceeded() {
        return usedBytes.get() > capacityBytes;
    }

    /** Returns whether more than twice as many bytes are used as there are. */
    boolean isExceededTwice() {
        return usedBytes.get() > 2 * capacityBytes;
    }

    /** Returns the number of bytes left; negative if more are used than there are. */
    long freeBytes() {
        return capacityBytes - usedBytes.get();
    }

    /** Returns the number of bytes in use. */
    long usedBytes() {
        return usedBytes.get();
    }
}
