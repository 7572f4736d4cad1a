package wallmoor.frames;

import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;

/** An attempt that a connection has taken and not reported yet. Guarded by the connection's lock. */
final class InFlightAttempt {
    final Attempt attempt;
    WriteState state = WriteState.QUEUED;
    /** As what it is reported once its cancellation has been written; null if it was not cancelled. */
    AttemptOutcome cancelledAs;
    /** When it was written completely, by {@link System#nanoTime}. */
    long writtenAt;

    InFlightAttempt(Attempt attempt) {
        this.attempt = attempt;
    }

    /**
     * What the end of its connection means for it. A connection that had come up may be closed at any time while it is
     * idle: that is no failure of the worker's where the attempt only waits.
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
