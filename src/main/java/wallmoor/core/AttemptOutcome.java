package wallmoor.core;

import wallmoor.decision.AttemptEndReason;

/** The way in which an attempt ended, as transports report it. */
public enum AttemptOutcome {
    /** The worker answered with the value of the part. */
    SERVED(AttemptEndReason.OK),
    /** The worker answered with an error; the part may have run. */
    ERROR(AttemptEndReason.ERROR),
    /** The worker rejected the attempt before running it. */
    REJECTED(AttemptEndReason.REJECTED),
    /** No answer arrived in time; the part may have run. */
    TIMED_OUT(AttemptEndReason.TIMEOUT),
    /** The connection was never established, or broke before the last byte was written: the part never ran. */
    CONNECT_FAILED(AttemptEndReason.CONNECT_FAILED),
    /** The connection broke after the last byte was written; the part may have run. */
    RESET(AttemptEndReason.RESET),
    /** The attempt was cancelled; the part may have run. */
    CANCELLED(AttemptEndReason.CANCELLED),
    /** The attempt was cancelled or forbidden before any byte was written: the part never ran. */
    NOT_SENT(AttemptEndReason.NOT_STARTED);

    /** The same outcome in the terms of the routing policy. */
    final AttemptEndReason endReason;

    AttemptOutcome(AttemptEndReason endReason) {
        this.endReason = endReason;
    }
}
