package wallmoor.decision;

/** What discovery says of a worker. */
public enum WorkerStatus {
    /** Takes parts. */
    UP,
    /** Finishes what it has and takes nothing new (graceful shutdown). */
    DRAINING,
    /** No longer in the list. */
    REMOVED
}
