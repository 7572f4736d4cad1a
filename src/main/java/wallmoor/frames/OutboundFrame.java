package wallmoor.frames;

import wallmoor.core.Step;

/** A frame that waits for the writer of a connection. It is encoded when its turn comes. */
sealed interface OutboundFrame {
    /** The call of some attempts. */
    record Call(Step.Send send) implements OutboundFrame {}

    /** The cancellation of an attempt that was written, or is being written. */
    record Cancellation(InFlightAttempt attempt) implements OutboundFrame {}
}
