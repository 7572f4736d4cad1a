package wallmoor.decision;

/** The kinds of events about the list of workers: a delta, the complete state, or a failure of the watch. */
public enum WorkerListKind {
    /** Changed entries only. */
    CHANGES,
    /** The complete list; what is missing from it is gone. */
    COMPLETE,
    /** The complete list as this gatherer last held it, perhaps old. */
    CACHED,
    /** Entries learnt elsewhere than from the list; the watch of the list is as it was. */
    ADDITIONAL,
    /** A call failed or the watch broke; the list stands. */
    WATCH_FAILED
}
