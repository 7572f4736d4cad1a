package wallmoor.idempotency;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is kept of one device. */
final class DeviceQuota {
    /** Its ended exchanges, the one that ended first in front: those that may repeat, and those that may not. */
    final Set<RequestRecord> repeatable = new LinkedHashSet<>();
    final Set<RequestRecord> once = new LinkedHashSet<>();
    int open;
    long bytes;
    private double tokens;
    private long at;

    DeviceQuota(IdempotencyLimits rules, long now) {
        tokens = rules.requestBurst();
        at = now;
    }

    /** Whether it may ask now; one that asks all the same pays for it, so that hammering never helps. */
    boolean tryAcquire(IdempotencyLimits rules, long now) {
        tokens = Math.min(rules.requestBurst(), tokens + (now - at) / 1e6 * rules.requestRate());
        at = now;
        if (tokens < 1) {
            tokens = Math.max(-rules.requestBurst(), tokens - 0.25);
            return false;
        }
        tokens--;
        return true;
    }

    /** Microseconds until it may ask again. */
    long retryAfter(IdempotencyLimits rules) {
        return (long) (Math.max(0, 1 - tokens) / rules.requestRate() * 1e6);
    }

    /** Whether forgetting it loses nothing. */
    boolean idle(IdempotencyLimits rules, long now) {
        return open == 0 && repeatable.isEmpty() && once.isEmpty()
                && tokens + (now - at) / 1e6 * rules.requestRate() >= rules.requestBurst();
    }

    int retained() {
        return repeatable.size() + once.size();
    }
}
