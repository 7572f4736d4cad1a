package wallmoor.core;

import wallmoor.decision.RouterApi;

/** How an attempt ended, in the words of the fronts. */
public enum AttemptOutcome {
    /** Served: the value is in. */
    SERVED(RouterApi.AttemptEndReason.OK),
    /** The worker answered with an error; it may have run. */
    ERROR(RouterApi.AttemptEndReason.ERROR),
    /** Turned away unseen. */
    REJECTED(RouterApi.AttemptEndReason.REJECTED),
    /** No answer in time; it may have run. */
    TIMED_OUT(RouterApi.AttemptEndReason.TIMEOUT),
    /** The connection never came up, or broke before the last byte was written: never ran. */
    CONNECT_FAILED(RouterApi.AttemptEndReason.CONNECT_FAILED),
    /** The connection broke after the last byte was written; it may have run. */
    RESET(RouterApi.AttemptEndReason.RESET),
    /** Called off; it may have run. */
    CANCELLED(RouterApi.AttemptEndReason.CANCELLED),
    /** Called off before any byte was written: never ran. */
    NOT_SENT(RouterApi.AttemptEndReason.NOT_STARTED);

    final RouterApi.AttemptEndReason code;

    AttemptOutcome(RouterApi.AttemptEndReason code) {
        this.code = code;
    }
}
