package wallmoor.decision;

/** The kinds of events about the worker list: entries, the complete list, or a failure of the watch. */
public enum WorkerListKind {
    /** Changed entries only. */
    CHANGES,
    /** The complete list; workers missing from it are removed. */
    COMPLETE,
    /** The last known complete list, which may be outdated. */
    CACHED,
    /** Entries from another source than the worker list; the watch of the list is unaffected. */
    ADDITIONAL,
    /** A request failed or the watch broke; the list is unchanged. */
    WATCH_FAILED
}
