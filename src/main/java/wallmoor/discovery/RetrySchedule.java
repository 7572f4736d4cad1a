package wallmoor.discovery;

import java.util.Random;

/**
 * Computes the latest time of the next call to discovery after a call failed or a watch was lost; the decision module
 * may call sooner. All times are jittered, so that gatherers that fail together don't reconnect together. Times are in
 * microseconds.
 */
final class RetrySchedule {
    /** Spreads consecutive seeds, for which {@link Random} would start with nearly the same numbers. */
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;
    // the lower limits of jittered waits, as fractions of their upper limits: after a failed call, after a watch fell
    // silent, after a watch ended, where lists are pushed, and where lists are polled
    private static final double MIN_PERIOD_FRACTION = 0.8;
    private static final double MIN_SILENT_FRACTION = 0.75;
    private static final double MIN_ENDED_FRACTION = 0.75;
    private static final double MIN_PUSHED_FRACTION = 0.65;
    private static final double MIN_POLLED_FRACTION = 0.6;

    private final Random random;
    private int consecutiveFailures;
    /** When the last watch ended, unless it fell silent. */
    private long endedAt = WatchTimings.NEVER;
    /** How many watches in a row ended soon after they were opened. */
    private int earlyEnds;

    RetrySchedule(long seed) {
        random = new Random(seed * SEED_MULTIPLIER);
    }

    /** Records that a watch reported something. */
    void onSynced() {
        consecutiveFailures = 0;
    }

    /** Records that another discovery is watched from now on, and forgets failures of the previous one. */
    void onDiscoveryMoved() {
        consecutiveFailures = 0;
        endedAt = WatchTimings.NEVER;
    }

    /**
     * Records the end of an open watch.
     *
     * @param isSilent whether the watch fell silent before it ended
     */
    void onWatchEnded(long at, LastCall call, boolean isSilent) {
        boolean isEarly = call.watchAge(at) < WatchTimings.SETTLED_AGE_MICROS;
        earlyEnds = isEarly ? earlyEnds + 1 : 0;
        endedAt = isSilent ? WatchTimings.NEVER : at;
    }

    /** Resets the failures, and returns the time of an immediate call, which is only delayed by jitter. */
    long scheduleReconnect(long at) {
        consecutiveFailures = 0;
        return at + jitter(0, WatchTimings.RECONNECT_JITTER_MICROS);
    }

    /** Counts a failure, and returns the latest time of the next call. */
    long scheduleRetry(long at, LastCall call, Staleness staleness, WatchSettings settings) {
        consecutiveFailures++;
        long earliest = at + WatchTimings.MIN_RETRY_MICROS;
        long periodStart = call.failed ? call.startedAt : at;
        long latest = Math.max(earliest, periodStart + jitter(MIN_PERIOD_FRACTION, WatchTimings.RETRY_PERIOD_MICROS));
        if (isUrgentAfterSilence(at, call, staleness, settings)) {
            long maxWait = consecutiveFailures == 1 ? WatchTimings.SILENT_FIRST_RETRY_MICROS
                    : WatchTimings.SILENT_RETRY_MICROS;
            latest = Math.min(latest, at + jitter(MIN_SILENT_FRACTION, maxWait));
        }
        if (isUrgentAfterEnd(at, call, settings)) {
            latest = Math.min(latest, at == endedAt ? at + jitter(0, WatchTimings.ENDED_JITTER_MICROS)
                    : Math.max(earliest,
                            call.startedAt + jitter(MIN_ENDED_FRACTION, WatchTimings.ENDED_RETRY_MICROS)));
        }
        if (settings.pushed()) {
            long next = call.startedAt + jitter(MIN_PUSHED_FRACTION, settings.pushedRetryMicros());
            latest = Math.min(latest, Math.max(earliest, next));
        } else if (settings.pollIntervalMicros() > 0) { // leaves half of the interval for the call
            long next = periodStart + jitter(MIN_POLLED_FRACTION, settings.pollValidityMicros(call.failed) / 2);
            latest = Math.min(latest, Math.max(earliest, next));
        }
        return latest;
    }

    /**
     * Returns whether to hurry because the watch fell silent: until missed changes count as notified and their grace is
     * over. Later only if the last call did not reach discovery, as such calls cost discovery nothing.
     */
    private static boolean isUrgentAfterSilence(long at, LastCall call, Staleness staleness, WatchSettings settings) {
        return staleness.isSilent() && (!call.reachedDiscovery
                || at < staleness.staleSince() + WatchTimings.STALENESS_BOUND_MICROS + settings.drainGraceMicros());
    }

    /**
     * Returns whether to hurry because the watch ended, so that changes that it did not report are received before they
     * count as notified and their grace is over. Not if discovery is unreachable or repeatedly ends watches early.
     */
    private boolean isUrgentAfterEnd(long at, LastCall call, WatchSettings settings) {
        return endedAt != WatchTimings.NEVER && earlyEnds <= WatchTimings.MAX_EARLY_ENDS
                && (at == endedAt || call.reachedDiscovery)
                && at < endedAt + WatchTimings.ENDED_STALENESS_BOUND_MICROS + settings.drainGraceMicros();
    }

    /** Returns a random time from {@code minFraction} of {@code maxMicros} up to all of it. */
    private long jitter(double minFraction, long maxMicros) {
        return (long) (maxMicros * (minFraction + (1 - minFraction) * random.nextDouble()));
    }
}
