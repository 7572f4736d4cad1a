package wallmoor.decision;

/** One attempt of a part at a worker, from its send to its end. */
final class TrackedAttempt {
    final TrackedPart part;
    final TrackedWorker worker;
    /** Its number among the attempts of its part, from 0. */
    final int number;
    /** When it was sent (microseconds). */
    final long sentAt;
    /** This gatherer's parts in flight at the worker before it. */
    final int inFlightBefore;
    /** The same with other gatherers' parts, as far as known. */
    final double totalInFlightBefore;
    /** It has been in flight for longer than a part should take. */
    boolean late;
    /** The worker had been unused for a while: its connection may have died unseen. */
    boolean afterIdle;
    /** The transport has been asked to cancel it. */
    boolean cancelled;
    /** Its part is beyond those that the query needs. */
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
