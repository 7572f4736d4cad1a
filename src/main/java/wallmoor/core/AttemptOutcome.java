package wallmoor.core;

import wallmoor.decision.AttemptEndReason;

/** How an attempt ended, as transports report it. */
public enum AttemptOutcome {
    /** Served: the value is in. */
    SERVED(AttemptEndReason.OK),
    /** The worker answered with an error; it may have run. */
    ERROR(AttemptEndReason.ERROR),
    /** Rejected before it ran. */
    REJECTED(AttemptEndReason.REJECTED),
    /** No answer in time; it may have run. */
    TIMED_OUT(AttemptEndReason.TIMEOUT),
    /** The connection never came up, or broke before the last byte was written: never ran. */
    CONNECT_FAILED(AttemptEndReason.CONNECT_FAILED),
    /** The connection broke after the last byte was written; it may have run. */
    RESET(AttemptEndReason.RESET),
    /** Cancelled; it may have run. */
    CANCELLED(AttemptEndReason.CANCELLED),
    /** Cancelled or no longer permitted before any byte was written: never ran. */
    NOT_SENT(AttemptEndReason.NOT_STARTED);

    /** The same as the routing policy reads it. */
    final AttemptEndReason code;

    AttemptOutcome(AttemptEndReason code) {
        this.code = code;
    }
}
