package wallmoor.core;

import java.util.function.LongSupplier;

/** Microseconds of Unix time that only go forward: set by the system's clock once, then by its steady one. */
public final class MonotonicClock implements LongSupplier {
    private final long wall = System.currentTimeMillis() * 1000;
    private final long steady = System.nanoTime();

    @Override
    public long getAsLong() {
        return fromNanoTime(System.nanoTime());
    }

    /** The time of a {@link System#nanoTime} reading. */
    public long fromNanoTime(long nanos) {
        return wall + (nanos - steady) / 1000;
    }
}
