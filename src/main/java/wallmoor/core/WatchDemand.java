package wallmoor.core;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;

/**
 * Whether the endpoint list is to be watched: asked for by the routing policy, or by an operator's reload, until the
 * watch breaks. Guarded by the gatherer's lock, to which its condition belongs; {@link #await} releases the lock while
 * it waits.
 */
final class WatchDemand {
    private final Condition requestedChanged;
    private boolean requested;

    WatchDemand(Condition requestedChanged) {
        this.requestedChanged = requestedChanged;
    }

    /** Asks for a watch. */
    void request() {
        requested = true;
        requestedChanged.signalAll();
    }

    /** The watch has broken: none is asked for until the next request. */
    void clear() {
        requested = false;
    }

    /**
     * Waits until a watch is asked for, at most until then.
     *
     * @param until microseconds on the clock; {@link Long#MAX_VALUE} for no limit
     */
    void await(long until, LongSupplier clock) throws InterruptedException {
        while (!requested && until == Long.MAX_VALUE) {
            requestedChanged.await();
        }
        long left = until - clock.getAsLong();
        while (!requested && left > 0) {
            requestedChanged.await(left, TimeUnit.MICROSECONDS);
            left = until - clock.getAsLong();
        }
    }
}
