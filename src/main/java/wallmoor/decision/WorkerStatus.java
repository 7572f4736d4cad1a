package wallmoor.decision;

/** The state of a worker according to discovery. */
public enum WorkerStatus {
    /** The worker takes parts. */
    UP,
    /** The worker finishes its parts in flight and takes no new ones (graceful shutdown). */
    DRAINING,
    /** The worker is no longer in the list. */
    REMOVED
}
