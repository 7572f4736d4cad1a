package wallmoor.consensus;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/** For the Raft library, which measures the time between heartbeats: a wall clock that is set must not end a leader. */
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

    /** Never 0, which may stand for never. */
    @Override
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + TimeUnit.DAYS.toMillis(1);
    }
}
