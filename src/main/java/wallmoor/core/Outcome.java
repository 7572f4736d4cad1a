package wallmoor.core;

import wallmoor.decision.RouterApi;

/** How an attempt ended, in the words of the fronts. */
public enum Outcome {
    /** Served: the value is in. */
    SERVED(RouterApi.Outcome.OK),
    /** The worker answered with an error; it may have run. */
    ERROR(RouterApi.Outcome.ERROR),
    /** Turned away unseen. */
    BUSY(RouterApi.Outcome.FULL),
    /** No answer in time; it may have run. */
    TIMED_OUT(RouterApi.Outcome.TIMEOUT),
    /** The connection never came up, or broke before the last byte was written: never ran. */
    NO_CONNECTION(RouterApi.Outcome.CONNECT_FAILED),
    /** The connection broke after the last byte was written; it may have run. */
    RESET(RouterApi.Outcome.RESET),
    /** Called off; it may have run. */
    CANCELLED(RouterApi.Outcome.CANCELLED),
    /** Called off before any byte was written: never ran. */
    NEVER_SENT(RouterApi.Outcome.MOOT);

    final RouterApi.Outcome code;

    Outcome(RouterApi.Outcome code) {
        this.code = code;
    }
}
