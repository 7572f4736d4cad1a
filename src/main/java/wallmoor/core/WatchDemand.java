package wallmoor.core;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;

/**
 * The request for a watch of the endpoint list, set by the routing policy or an operator's reload and cleared when the
 * watch breaks. Guarded by the gatherer's lock, to which its condition belongs; {@link #await} releases the lock while
 * it waits.
 */
final class WatchDemand {
    private final Condition requestedChanged;
    private boolean requested;

    WatchDemand(Condition requestedChanged) {
        this.requestedChanged = requestedChanged;
    }

    /** Requests a watch. */
    void request() {
        requested = true;
        requestedChanged.signalAll();
    }

    /** Clears the request after the watch has broken; none is pending until the next call of {@link #request}. */
    void clear() {
        requested = false;
    }

    /**
     * Waits until a watch is requested.
     *
     * @param until the end of the wait, microseconds on the clock; {@link Long#MAX_VALUE} for no limit
     */
    void await(long until, LongSupplier clock) throws InterruptedException {
        while (!requested && until == Long.MAX_VALUE) {
            requestedChanged.await();
        }
        long remaining = until - clock.getAsLong();
        while (!requested && remaining > 0) {
            requestedChanged.await(remaining, TimeUnit.MICROSECONDS);
            remaining = until - clock.getAsLong();
        }
    }
}
