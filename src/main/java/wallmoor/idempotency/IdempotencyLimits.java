package wallmoor.idempotency;

/**
 * Retention periods, quotas and rate limits. Times are microseconds.
 *
 * @param abandonedGrace       a request that may repeat is cancelled once nobody has waited for it for so long
 * @param retention            an outcome that may be computed again is retained for so long after completion
 * @param deduplicationWindow  any other outcome is retained until its key is so old; a request whose key is older, or
 *                             older than this process, is never executed
 * @param clockSkew            how far a device's clock may be off
 * @param uploadIdleTimeout    an upload without a chunk for so long is dropped
 * @param maxOpenPerDevice     requests of one device without an outcome, uploads included
 * @param maxOpen              the same of all devices
 * @param maxRetainedPerDevice outcomes retained for one device
 * @param maxRetainedBytes     bytes of all outcomes and uploads, with {@link #RECORD_OVERHEAD_BYTES} for each
 * @param maxBytesPerDevice    the same of one device
 * @param maxOutcomeBytes      bytes of one outcome; reserved when a request that may not repeat is admitted
 * @param requestRate          requests a second that a device may sustain
 * @param requestBurst         requests that a device may make at once
 * @param retryRate            rejected devices a second that are invited to retry
 * @param minRetryAfter        the shortest Retry-After
 * @param maxRetryAfter        the longest Retry-After
 */
public record IdempotencyLimits(long abandonedGrace, long retention, long deduplicationWindow, long clockSkew,
        long uploadIdleTimeout, int maxOpenPerDevice, int maxOpen, int maxRetainedPerDevice, long maxRetainedBytes,
        long maxBytesPerDevice, int maxOutcomeBytes, double requestRate, int requestBurst, double retryRate,
        long minRetryAfter, long maxRetryAfter) {
    /** Bytes that a record uses beside its outcome, measured and rounded up. */
    public static final int RECORD_OVERHEAD_BYTES = 512;

    private static final long SECOND = 1_000_000;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if one does not hold
     */
    public IdempotencyLimits {
        require(abandonedGrace >= 0 && retention > 0 && deduplicationWindow > 0 && clockSkew >= 0
                && uploadIdleTimeout > 0, "periods");
        require(maxOpenPerDevice >= 1 && maxOpen >= maxOpenPerDevice && maxRetainedPerDevice >= 1, "counts");
        require(maxOutcomeBytes >= 1 && maxBytesPerDevice >= maxOutcomeBytes + RECORD_OVERHEAD_BYTES
                && maxRetainedBytes >= maxBytesPerDevice, "bytes");
        require(requestRate > 0 && requestBurst >= 1 && retryRate > 0, "rates");
        require(minRetryAfter > 0 && maxRetryAfter >= minRetryAfter, "retry times");
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException("limits of idempotent requests: " + what + " are out of bounds");
        }
    }

    /** Default values; the operators' page gives their reasons. */
    public static IdempotencyLimits defaults() {
        return new IdempotencyLimits(5 * SECOND, 600 * SECOND, 86_400 * SECOND, 5 * SECOND, 60 * SECOND, 16, 2_000, 256,
                64L << 20, 4L << 20, 64 * 1024, 5, 40, 200, SECOND, 30 * SECOND);
    }
}
