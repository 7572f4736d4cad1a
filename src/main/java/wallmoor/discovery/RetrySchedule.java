package wallmoor.discovery;

import java.util.Random;

/**
 * When discovery is called again at the latest after a call has failed or a watch was lost, should the decision module
 * wait for longer. All times are jittered: gatherers that fail together don't return together. Times are microseconds.
 */
final class RetrySchedule {
    /** Seeds that follow on each other would begin with all but the same numbers. */
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;
    /** From this share of a time up to all of it: after a failure, after a silence, where pushed, where polled. */
    private static final double PERIOD_SPREAD = 0.8;
    private static final double SILENT_SPREAD = 0.75;
    private static final double ENDED_SPREAD = 0.75;
    private static final double PUSHED_SPREAD = 0.65;
    private static final double POLLED_SPREAD = 0.6;

    private final Random random;
    private int failures;
    private long endedAt = WatchTimings.NEVER;
    private int earlyEnds;

    RetrySchedule(long seed) {
        random = new Random(seed * SEED_MULTIPLIER);
    }

    /** A watch has reported something. */
    void onSynced() {
        failures = 0;
    }

    /** Discovery is elsewhere from now on: what the one before did is forgotten. */
    void onDiscoveryMoved() {
        failures = 0;
        endedAt = WatchTimings.NEVER;
    }

    /** An open watch is over. */
    void onWatchEnded(long at, LastCall call, boolean silent) {
        boolean young = call.age(at) < WatchTimings.SETTLED_AGE_MICROS;
        earlyEnds = young ? earlyEnds + 1 : 0;
        endedAt = silent ? WatchTimings.NEVER : at;
    }

    /** Calls again at once, but for a jitter. */
    long reconnectAt(long at) {
        failures = 0;
        return at + jitter(0, WatchTimings.RECONNECT_JITTER_MICROS);
    }

    /** Counts a failure, and says when to call again at the latest. */
    long retryBy(long at, LastCall call, Staleness staleness, WatchSettings settings) {
        failures++;
        long earliest = at + WatchTimings.MIN_RETRY_MICROS;
        long from = call.failed ? call.startedAt : at;
        long by = Math.max(earliest, from + jitter(PERIOD_SPREAD, WatchTimings.RETRY_PERIOD_MICROS));
        if (hurriesAfterSilence(at, call, staleness, settings)) {
            long most = failures == 1 ? WatchTimings.SILENT_FIRST_RETRY_MICROS : WatchTimings.SILENT_RETRY_MICROS;
            by = Math.min(by, at + jitter(SILENT_SPREAD, most));
        }
        if (hurriesAfterEnd(at, call, settings)) {
            by = Math.min(by, at == endedAt ? at + jitter(0, WatchTimings.ENDED_JITTER_MICROS)
                    : Math.max(earliest,
                            call.startedAt + jitter(ENDED_SPREAD, WatchTimings.ENDED_RETRY_MICROS)));
        }
        if (settings.pushed()) {
            long next = call.startedAt + jitter(PUSHED_SPREAD, settings.pushedRetryMicros());
            by = Math.min(by, Math.max(earliest, next));
        } else if (settings.pollWithin() > 0) { // the other half of the time is for the call
            long next = from + jitter(POLLED_SPREAD, settings.pollHoldMicros(call.failed) / 2);
            by = Math.min(by, Math.max(earliest, next));
        }
        return by;
    }

    /**
     * While a silent watch's staleness bound runs; later only where discovery is not reached, which costs it nothing.
     */
    private static boolean hurriesAfterSilence(long at, LastCall call, Staleness staleness, WatchSettings settings) {
        return staleness.isSilent() && (!call.reachedDiscovery
                || at < staleness.since() + WatchTimings.STALENESS_BOUND_MICROS + settings.drainGrace());
    }

    /**
     * Whether what an ended watch did not report may still come within its bound: not where discovery is unreachable.
     */
    private boolean hurriesAfterEnd(long at, LastCall call, WatchSettings settings) {
        return endedAt != WatchTimings.NEVER && earlyEnds <= WatchTimings.MAX_EARLY_ENDS
                && (at == endedAt || call.reachedDiscovery)
                && at < endedAt + WatchTimings.ENDED_STALENESS_BOUND_MICROS + settings.drainGrace();
    }

    /** At random from this share of a time up to all of it. */
    private long jitter(double least, long most) {
        return (long) (most * (least + (1 - least) * random.nextDouble()));
    }
}
