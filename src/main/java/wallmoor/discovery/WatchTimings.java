package wallmoor.discovery;

/** The tuning parameters of the endpoint list's watch, with their reasons. All times are microseconds. */
final class WatchTimings {
    /** No time: what is asked for is not in sight. */
    static final long NEVER = Long.MAX_VALUE;

    // ---- timeouts of a call ----

    /** A connection that is not up by then is to a machine cut off; the kernel sends its second SYN only then. */
    static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    /** Discovery handles calls one after another; one that waits longer has failed there too. */
    static final long RESPONSE_TIMEOUT_MICROS = 2_500_000;
    /** A heartbeat comes every 2 s; half as long again bears a gatherer that is itself late by a second. */
    static final long SILENCE_TIMEOUT_MICROS = 3_000_000;
    /** A live watch reports something this often. */
    static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /** What lies unread already is read for so long after its deadline, however much it is; a trickle is not. */
    static final long LATE_READS_MICROS = 250_000;
    /** How long a single read may take after its deadline. */
    static final long LATE_READ_MICROS = 1_000;

    // ---- staleness: when a change that was missed counts as notified ----

    /**
     * So long after the watch fell silent: {@link #SILENCE_TIMEOUT_MICROS}, {@link #RECONNECT_JITTER_MICROS} and
     * {@link #RESPONSE_TIMEOUT_MICROS} stay below it, so that one slow call is borne.
     */
    static final long STALENESS_BOUND_MICROS = 6_000_000;
    /** Where lists are pushed, so much later after discovery has moved. */
    static final long MOVED_STALENESS_BOUND_MICROS = 4_000_000;
    /**
     * A watch that ended, rather than fell silent, is a call whose wait is over: what it did not report counts so much
     * later.
     */
    static final long ENDED_STALENESS_BOUND_MICROS = 2_000_000;
    /** A poll that failed holds the gatherer to its list for so many times as long. */
    static final int FAILED_POLL_FACTOR = 4;

    // ---- when to call again ----

    /** The first call after a loss comes within this time; all gatherers may have lost theirs at once. */
    static final long RECONNECT_JITTER_MICROS = 300_000;
    /** Where a change counts later than this after it was made, a reset watch can wait as the module says. */
    static final long SHORT_POLL_MICROS = 2_000_000;
    /** A watch that ended younger is a failure: if it always ended so, it would be called at once without end. */
    static final long SETTLED_AGE_MICROS = 2_000_000;
    /** Longest wait after a silent watch, at first: as long as the module's own after a first loss. */
    static final long SILENT_FIRST_RETRY_MICROS = 1_000_000;
    /** Longest wait after a silent watch, later. */
    static final long SILENT_RETRY_MICROS = 2_000_000;
    /**
     * From the begin of a call that failed to the next one's at most. A change counts as notified {@link
     * #STALENESS_BOUND_MICROS} after discovery had it and could be reached, whatever call failed before. With 2 s of
     * grace that leaves time for a call that is given up after {@link #RESPONSE_TIMEOUT_MICROS} and one answered at its
     * last moment, or for two prompt refusals.
     */
    static final long RETRY_PERIOD_MICROS = 2_500_000;
    /** Shortest wait after a call that itself took long. */
    static final long MIN_RETRY_MICROS = 250_000;
    /** The first call after a watch ended comes within this time: a refused call and a slow one fit into the bound. */
    static final long ENDED_JITTER_MICROS = 600_000;
    /** The next ones after a watch ended come so long after the call before. */
    static final long ENDED_RETRY_MICROS = 1_000_000;
    /** This many watches that ended young in a row: from then on discovery is spared, as it may end all it opens. */
    static final int MAX_EARLY_ENDS = 3;
    /**
     * Where lists are pushed, what comes at discovery's return counts at once: from call to call at most this share of
     * the drain grace, which leaves 0.6 s of 2 for the call; within bounds, as discovery is shared.
     */
    static final double PUSHED_RETRY_SHARE = 0.7;
    static final long MIN_PUSHED_RETRY_MICROS = 500_000;
    static final long MAX_PUSHED_RETRY_MICROS = 4_000_000;

    private WatchTimings() {}
}
