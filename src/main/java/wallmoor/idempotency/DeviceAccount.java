package wallmoor.idempotency;

import java.util.LinkedHashSet;
import java.util.Set;

/** What one device uses of its quotas, and its token bucket for the request rate. */
final class DeviceAccount {
    /** Tokens that a rejected request costs, so that a device gains nothing by retrying at once. */
    private static final double REJECTION_COST = 0.25;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Completed requests that may repeat, in the order of completion. */
    final Set<RequestRecord> repeatable = new LinkedHashSet<>();
    /** Completed requests that may not repeat, in the order of completion. */
    final Set<RequestRecord> executedOnce = new LinkedHashSet<>();
    /** Requests without an outcome, uploads included. */
    int open;
    /** Bytes reserved for all its requests. */
    long reservedBytes;
    private double tokens;
    private long refilledAt;

    DeviceAccount(IdempotencyLimits limits, long now) {
        tokens = limits.requestBurst();
        refilledAt = now;
    }

    /** Whether the device may make a request now. */
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

    /** Microseconds until it may make a request again. */
    long retryAfter(IdempotencyLimits limits) {
        return (long) (Math.max(0, 1 - tokens) / limits.requestRate() * MICROS_PER_SECOND);
    }

    /** Whether forgetting this account loses nothing. */
    boolean isIdle(IdempotencyLimits limits, long now) {
        return open == 0 && repeatable.isEmpty() && executedOnce.isEmpty()
                && refilled(limits, now) >= limits.requestBurst();
    }

    /** Completed requests that are retained. */
    int retained() {
        return repeatable.size() + executedOnce.size();
    }

    private double refilled(IdempotencyLimits limits, long now) {
        return tokens + (now - refilledAt) / MICROS_PER_SECOND * limits.requestRate();
    }
}
