package wallmoor.consensus;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * The clock of the Raft library, which measures the time between heartbeats with it. It is monotonic, so that setting
 * the wall clock does not end a leadership.
 */
final class RaftClock extends Clock {
    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    /** Returns the time in milliseconds; never 0, which the library may read as "never". */
    @Override
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + TimeUnit.DAYS.toMillis(1);
    }
}
