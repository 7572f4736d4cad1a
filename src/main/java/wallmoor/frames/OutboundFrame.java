package wallmoor.frames;

import wallmoor.core.Step;

/** A frame that is queued for the writer of a connection. It is encoded just before it is written. */
sealed interface OutboundFrame {
    /** A call with one or more attempts. */
    record Call(Step.Send send) implements OutboundFrame {}

    /** The cancellation of an attempt that was written, or is being written. */
    record Cancellation(InFlightAttempt attempt) implements OutboundFrame {}
}
