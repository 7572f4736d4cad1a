package wallmoor.frames;

import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;

/** An attempt that a connection has accepted and not reported yet. Guarded by the connection's lock. */
final class InFlightAttempt {
    final Attempt attempt;
    WriteState state = WriteState.QUEUED;
    /** The outcome to report once the cancellation has been written; null if the attempt was not cancelled. */
    AttemptOutcome cancelledAs;
    /** The time at which the attempt was written completely, by {@link System#nanoTime}. */
    long writtenAt;

    InFlightAttempt(Attempt attempt) {
        this.attempt = attempt;
    }

    /**
     * Returns the outcome of the attempt when its connection ends. A worker may close an established connection at any
     * time while it is idle, so this is not a failure of the worker if the attempt was still queued.
     */
    AttemptOutcome outcomeAtClose(boolean connected) {
        if (cancelledAs != null) {
            return cancelledAs;
        }
        return switch (state) {
            case WRITTEN -> AttemptOutcome.RESET;
            case WRITING -> AttemptOutcome.CONNECT_FAILED;
            case QUEUED -> connected ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
        };
    }
}
