package wallmoor.decision;

/** An attempt of a part at a worker, from its send to its end. */
final class TrackedAttempt {
    final TrackedPart part;
    final TrackedWorker worker;
    /** The attempt's number among the attempts of its part, from 0. */
    final int number;
    /** When the attempt was sent (microseconds). */
    final long sentAt;
    /** This gatherer's parts in flight at the worker before this attempt. */
    final int inFlightBefore;
    /** The parts of all gatherers in flight at the worker before this attempt, as far as known. */
    final double totalInFlightBefore;
    /** Whether the attempt has been in flight for longer than a part should take. */
    boolean late;
    /** Whether the worker had been unused for some time, so that its connection may have broken undetected. */
    boolean afterIdle;
    /** Whether the transport has been requested to cancel the attempt. */
    boolean cancelled;
    /** Whether the part is redundant, beyond those that the query needs. */
    boolean spare;

    TrackedAttempt(TrackedPart part, TrackedWorker worker, int number, long sentAt, int inFlightBefore,
            double totalInFlightBefore) {
        this.part = part;
        this.worker = worker;
        this.number = number;
        this.sentAt = sentAt;
        this.inFlightBefore = inFlightBefore;
        this.totalInFlightBefore = totalInFlightBefore;
    }
}
