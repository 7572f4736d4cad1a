package wallmoor.decision;

/**
 * Asks discovery for the list of workers, and again with exponential backoff and jitter until a watch of it stands.
 * Owns the timer {@link #TIMER}.
 */
final class WorkerListPolling {
    /** The token of its timer. */
    static final String TIMER = "ask";

    private final PolicyContext context;
    private boolean watching;
    private boolean timerRunning;
    private long backoff = TuningParameters.POLL_BACKOFF;

    WorkerListPolling(PolicyContext context) {
        this.context = context;
    }

    /** The gatherer has started. */
    void start() {
        if (context.settings().watchOnRequest()) {
            poll();
        }
    }

    /** The list or changes of it have come: the watch stands. */
    void recordWatchEvent() {
        watching = true;
        backoff = TuningParameters.POLL_BACKOFF;
    }

    /** A call failed, or the watch broke. */
    void recordFailure() {
        watching = false;
        schedule();
    }

    /** The timer is due. */
    void onTimer() {
        timerRunning = false;
        if (context.settings().watchOnRequest() && !watching) {
            poll();
        }
    }

    private void poll() {
        context.actions.watchWorkerList();
        schedule();
    }

    private void schedule() {
        if (timerRunning) {
            return;
        }
        timerRunning = true;
        context.actions.scheduleTimer((long) (backoff * context.jitter(TuningParameters.POLL_JITTER)), TIMER);
        backoff = Math.min(TuningParameters.MAX_POLL_BACKOFF, 2 * backoff);
    }
}
