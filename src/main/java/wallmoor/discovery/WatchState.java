package wallmoor.discovery;

/** The states of the watch on the endpoint list. Only in {@link #SYNCED} the list is known to be current. */
enum WatchState {
    /** No call is out: the next one is due by the machine's time, or sooner where the decision module wants it. */
    IDLE,
    /** A connection is being opened. */
    CONNECTING,
    /** A request is out, for the full list or for a watch; its response must come. */
    REQUESTED,
    /** A watch's response head is in; its first object or heartbeat must come. */
    OPENED,
    /** A watch that has reported something; its next object or heartbeat must come. */
    SYNCED
}
