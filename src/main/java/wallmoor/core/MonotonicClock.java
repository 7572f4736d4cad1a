package wallmoor.core;

import java.util.function.LongSupplier;

/**
 * A clock of Unix time in microseconds that never goes back: it reads the system clock once, then advances with
 * {@link System#nanoTime}.
 */
public final class MonotonicClock implements LongSupplier {
    private final long startMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return fromNanoTime(System.nanoTime());
    }

    /** Returns the Unix time in microseconds of a {@link System#nanoTime} reading. */
    public long fromNanoTime(long nanos) {
        return startMicros + (nanos - startNanos) / 1000;
    }
}
