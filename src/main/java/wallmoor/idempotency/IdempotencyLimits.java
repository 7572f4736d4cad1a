package wallmoor.idempotency;

/**
 * The figures of the exchanges. Times are microseconds.
 *
 * @param abandonedGrace         a query that may repeat, and that nobody waits for any longer, is cancelled after this
 * @param retention        an outcome of a class that may repeat is kept for so long after its end
 * @param deduplicationWindow        an outcome of a class that may not is kept until so long after its id was made; an
 *                                   id older than
 *                      this, or made before the program knew anything, is never run
 * @param clockSkew          a device's clock may be off by so much
 * @param uploadIdleTimeout    an upload with no piece for so long is dropped
 * @param maxOpenPerDevice      queries of one device that have no outcome yet, uploads among them
 * @param maxOpen          ... of all devices
 * @param maxRetainedPerDevice  outcomes kept for one device
 * @param maxRetainedBytes bytes of outcomes and uploads kept in all, with {@link #RECORD_OVERHEAD_BYTES} for each
 * @param maxBytesPerDevice     ... for one device
 * @param maxOutcomeBytes   bytes of one outcome; so much is set aside when a query that may not repeat is taken
 * @param requestRate       asks a second that a device may go on making
 * @param requestBurst      asks that it may make at once
 * @param retryRate    devices a second that are told to come back
 * @param minRetryAfter   the least time to come back after
 * @param maxRetryAfter    the longest
 */
public record IdempotencyLimits(long abandonedGrace, long retention, long deduplicationWindow, long clockSkew,
        long uploadIdleTimeout, int maxOpenPerDevice, int maxOpen,
        int maxRetainedPerDevice, long maxRetainedBytes, long maxBytesPerDevice, int maxOutcomeBytes,
        double requestRate, int requestBurst,
        double retryRate, long minRetryAfter, long maxRetryAfter) {
    /** What an exchange takes beside its outcome's bytes, measured and rounded up. */
    public static final int RECORD_OVERHEAD_BYTES = 512;

    /** Checks the bounds. */
    public IdempotencyLimits {
        if (abandonedGrace < 0 || retention <= 0 || deduplicationWindow <= 0 || clockSkew < 0 || uploadIdleTimeout <= 0
                || maxOpenPerDevice < 1 || maxOpen < maxOpenPerDevice
                || maxRetainedPerDevice < 1 || maxOutcomeBytes < 1
                || maxBytesPerDevice < maxOutcomeBytes + RECORD_OVERHEAD_BYTES
                || maxRetainedBytes < maxBytesPerDevice
                || !(requestRate > 0) || requestBurst < 1 || !(retryRate > 0) || minRetryAfter <= 0
                || maxRetryAfter < minRetryAfter) {
            throw new IllegalArgumentException("rules of exchanges are out of bounds");
        }
    }

    /** Starting values; the operators' page gives their reasons. */
    public static IdempotencyLimits defaults() {
        long second = 1_000_000;
        return new IdempotencyLimits(5 * second, 600 * second, 86_400 * second, 5 * second, 60 * second, 16, 2_000, 256,
                64L << 20, 4L << 20, 64 * 1024, 5, 40, 200, second, 30 * second);
    }
}
