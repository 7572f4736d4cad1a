package wallmoor.decision;

/**
 * Requests the worker list from discovery, and repeats the request with exponential backoff and jitter until the watch
 * is established. Owns the timer {@link #TIMER_TOKEN}.
 */
final class WorkerListPolling {
    /** The token of the timer. */
    static final String TIMER_TOKEN = "ask";

    private final PolicyContext context;
    private boolean watching;
    private boolean timerRunning;
    private long backoff = TuningParameters.INITIAL_POLL_BACKOFF_MICROS;

    WorkerListPolling(PolicyContext context) {
        this.context = context;
    }

    /** Sends the first request when the gatherer starts. */
    void start() {
        if (context.settings().watchOnRequest()) {
            poll();
        }
    }

    /** Records that the list or changes of it have arrived, so that the watch is established. */
    void recordWatchEvent() {
        watching = true;
        backoff = TuningParameters.INITIAL_POLL_BACKOFF_MICROS;
    }

    /** Records that a request failed or the watch broke. */
    void recordFailure() {
        watching = false;
        schedule();
    }

    /** Handles the expiry of the timer. */
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
        context.actions.scheduleTimer((long) (backoff * context.jitter(TuningParameters.POLL_JITTER)), TIMER_TOKEN);
        backoff = Math.min(TuningParameters.MAX_POLL_BACKOFF_MICROS, 2 * backoff);
    }
}
