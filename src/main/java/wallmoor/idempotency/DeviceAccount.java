package wallmoor.idempotency;

import java.util.LinkedHashSet;
import java.util.Set;

/** The use of one device's quotas, and its token bucket for the request rate. */
final class DeviceAccount {
    /** The tokens that a rejected request costs, so that retrying at once does not pay. */
    private static final double REJECTION_COST = 0.25;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Completed requests that may be executed again, in the order of completion. */
    final Set<RequestRecord> repeatable = new LinkedHashSet<>();
    /** Completed requests that must not be executed again, in the order of completion. */
    final Set<RequestRecord> executedOnce = new LinkedHashSet<>();
    /** The number of requests without an outcome, including uploads. */
    int open;
    /** The bytes reserved for all requests of the device. */
    long reservedBytes;
    private double tokens;
    private long refilledAt;

    DeviceAccount(IdempotencyLimits limits, long now) {
        tokens = limits.requestBurst();
        refilledAt = now;
    }

    /** Takes a token for a request; returns false if the device exceeds its request rate. */
    boolean tryAcquire(IdempotencyLimits limits, long now) {
        tokens = Math.min(limits.requestBurst(), refilled(limits, now));
        refilledAt = now;
        if (tokens < 1) {
            tokens = Math.max(-limits.requestBurst(), tokens - REJECTION_COST);
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the device may make a request again (microseconds). */
    long retryAfter(IdempotencyLimits limits) {
        return (long) (Math.max(0, 1 - tokens) / limits.requestRate() * MICROS_PER_SECOND);
    }

    /** Returns whether the account can be dropped because it equals a new one. */
    boolean isIdle(IdempotencyLimits limits, long now) {
        return open == 0 && repeatable.isEmpty() && executedOnce.isEmpty()
                && refilled(limits, now) >= limits.requestBurst();
    }

    /** Returns the number of completed requests that are retained. */
    int retained() {
        return repeatable.size() + executedOnce.size();
    }

    private double refilled(IdempotencyLimits limits, long now) {
        return tokens + (now - refilledAt) / MICROS_PER_SECOND * limits.requestRate();
    }
}
