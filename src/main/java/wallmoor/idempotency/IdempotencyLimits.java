package wallmoor.idempotency;

/**
 * The retention periods, quotas and rate limits of idempotent requests. Times are microseconds.
 *
 * @param abandonedGrace       the time after which a request that may be executed again is cancelled, counted from the
 *                             moment that no device waits for it
 * @param retention            the retention after completion of an outcome that may be computed again
 * @param deduplicationWindow  the age of the key up to which any other outcome is retained; a request with an older
 *                             key, or one from before the start of this process, is never executed
 * @param clockSkew            the maximum deviation of a device's clock
 * @param uploadIdleTimeout    the time without a chunk after which an upload is dropped
 * @param maxOpenPerDevice     the maximum number of requests of one device without an outcome, including uploads
 * @param maxOpen              the same limit for all devices together
 * @param maxRetainedPerDevice the maximum number of outcomes retained for one device
 * @param maxRetainedBytes     the maximum size of all outcomes and uploads, including {@link #RECORD_OVERHEAD_BYTES}
 *                             for each
 * @param maxBytesPerDevice    the same limit for one device
 * @param maxOutcomeBytes      the maximum size of one outcome; reserved when a request is admitted that must not be
 *                             executed again
 * @param requestRate          the sustained request rate of a device (requests per second)
 * @param requestBurst         the number of requests that a device may make at once
 * @param retryRate            the rate at which rejected devices are scheduled to retry (devices per second)
 * @param minRetryAfter        the minimum Retry-After
 * @param maxRetryAfter        the maximum Retry-After
 */
public record IdempotencyLimits(long abandonedGrace, long retention, long deduplicationWindow, long clockSkew,
        long uploadIdleTimeout, int maxOpenPerDevice, int maxOpen, int maxRetainedPerDevice, long maxRetainedBytes,
        long maxBytesPerDevice, int maxOutcomeBytes, double requestRate, int requestBurst, double retryRate,
        long minRetryAfter, long maxRetryAfter) {
    /** The memory of a record besides its outcome (bytes, rounded up). */
    public static final int RECORD_OVERHEAD_BYTES = 512;

    private static final long SECOND_MICROS = 1_000_000;

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a limit is out of bounds
     */
    public IdempotencyLimits {
        require(abandonedGrace >= 0 && retention > 0 && deduplicationWindow > 0 && clockSkew >= 0
                && uploadIdleTimeout > 0,
                "retention, deduplicationWindow and uploadIdleTimeout must be positive,"
                        + " abandonedGrace and clockSkew not negative");
        require(maxOpenPerDevice >= 1 && maxOpen >= maxOpenPerDevice && maxRetainedPerDevice >= 1,
                "maxOpenPerDevice and maxRetainedPerDevice must be at least 1, maxOpen at least maxOpenPerDevice");
        require(maxOutcomeBytes >= 1 && maxBytesPerDevice >= maxOutcomeBytes + RECORD_OVERHEAD_BYTES
                && maxRetainedBytes >= maxBytesPerDevice,
                "maxOutcomeBytes must be at least 1, maxBytesPerDevice at least " + RECORD_OVERHEAD_BYTES
                        + " more than that, and maxRetainedBytes at least maxBytesPerDevice");
        require(requestRate > 0 && requestBurst >= 1 && retryRate > 0,
                "requestRate and retryRate must be positive, requestBurst at least 1");
        require(minRetryAfter > 0 && maxRetryAfter >= minRetryAfter,
                "minRetryAfter must be positive and not more than maxRetryAfter");
    }

    private static void require(boolean valid, String rule) {
        if (!valid) {
            throw new IllegalArgumentException("limits of idempotent requests: " + rule);
        }
    }

    /** Returns the default limits; the operators' page gives the reasons for them. */
    public static IdempotencyLimits defaults() {
        return new IdempotencyLimits(5 * SECOND_MICROS, 600 * SECOND_MICROS, 86_400 * SECOND_MICROS, 5 * SECOND_MICROS,
                60 * SECOND_MICROS, 16, 2_000, 256, 64L << 20, 4L << 20, 64 * 1024, 5, 40, 200, SECOND_MICROS,
                30 * SECOND_MICROS);
    }
}
