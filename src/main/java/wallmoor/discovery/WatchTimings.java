package wallmoor.discovery;

/** The tuning parameters of the watch on the endpoint list, with their reasons. All times are in microseconds. */
final class WatchTimings {
    /** A time that never comes. */
    static final long NEVER = Long.MAX_VALUE;

    // ---- timeouts of a call ----

    /** A connection that takes longer is to an unreachable machine; the kernel resends a lost SYN only after 1 s. */
    static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    /** Discovery handles calls one after another; a call that waits longer has failed there, too. */
    static final long RESPONSE_TIMEOUT_MICROS = 2_500_000;
    /** One and a half heartbeat intervals, so that a watch survives a gatherer that is itself late by 1 s. */
    static final long SILENCE_TIMEOUT_MICROS = 3_000_000;
    /** The longest time between two reports of a live watch. */
    static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /**
     * The time after its deadline in which a call still reads data that has arrived already, however much that is. It
     * is bounded, so that a slow trickle of data does not keep the call alive.
     */
    static final long LATE_READ_WINDOW_MICROS = 250_000;
    /** The timeout of a single read after the deadline. */
    static final long LATE_READ_TIMEOUT_MICROS = 1_000;

    // ---- staleness: when a missed change counts as notified ----

    /**
     * The time from when the watch fell silent until missed changes count as notified. The sum of {@link
     * #SILENCE_TIMEOUT_MICROS}, {@link #RECONNECT_JITTER_MICROS} and {@link #RESPONSE_TIMEOUT_MICROS} is lower, so that
     * one slow call is tolerated.
     */
    static final long STALENESS_BOUND_MICROS = 6_000_000;
    /** The time from when discovery moved until missed changes count as notified, where lists are pushed. */
    static final long MOVED_STALENESS_BOUND_MICROS = 4_000_000;
    /**
     * The time from when a watch ended, rather than fell silent, until missed changes count as notified: such a watch
     * is treated like a poll that has completed.
     */
    static final long ENDED_STALENESS_BOUND_MICROS = 2_000_000;
    /** After a failed poll, the last list counts as current for this many poll intervals instead of one. */
    static final int FAILED_POLL_FACTOR = 4;

    // ---- when to call again ----

    /** Bound of the random delay of the first call after a loss, as all gatherers may lose their watches at once. */
    static final long RECONNECT_JITTER_MICROS = 300_000;
    /** With a poll interval of at least this, a watch that was reset can wait for the decision module's backoff. */
    static final long SHORT_POLL_MICROS = 2_000_000;
    /**
     * A watch that ends earlier counts as a failure. Otherwise a discovery that always ends watches early would be
     * called again at once without end.
     */
    static final long SETTLED_AGE_MICROS = 2_000_000;
    /** The longest wait for the first retry after a watch fell silent; the decision module's first wait is as long. */
    static final long SILENT_FIRST_RETRY_MICROS = 1_000_000;
    /** The longest wait for each later retry after a watch fell silent. */
    static final long SILENT_RETRY_MICROS = 2_000_000;
    /**
     * The longest time from the start of a failed call to the next call. A change counts as notified {@link
     * #STALENESS_BOUND_MICROS} after discovery had it and was reachable, whatever calls failed before. Together with a
     * grace of 2 s, this period leaves time for a call that is given up after {@link #RESPONSE_TIMEOUT_MICROS} and one
     * that is answered at the last moment, or for two calls that are refused promptly.
     */
    static final long RETRY_PERIOD_MICROS = 2_500_000;
    /** The shortest wait after a call that itself took long. */
    static final long MIN_RETRY_MICROS = 250_000;
    /** The longest wait for the first call after a watch ended; a refused and a slow call then fit into the bound. */
    static final long ENDED_JITTER_MICROS = 600_000;
    /** The longest time from call to call for the later calls after a watch ended. */
    static final long ENDED_RETRY_MICROS = 1_000_000;
    /**
     * After more early ends in a row, ended watches are no longer retried sooner than other failures, as discovery may
     * end every watch that it opens.
     */
    static final int MAX_EARLY_ENDS = 3;
    /**
     * The longest time from call to call where lists are pushed, as a fraction of the drain grace: changes count as
     * notified as soon as discovery is reachable again. With a grace of 2 s, 0.6 s remain for the call. Bounded by the
     * next two constants, as discovery is shared.
     */
    static final double PUSHED_RETRY_SHARE = 0.7;
    static final long MIN_PUSHED_RETRY_MICROS = 500_000;
    static final long MAX_PUSHED_RETRY_MICROS = 4_000_000;

    private WatchTimings() {}
}
