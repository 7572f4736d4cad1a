package wallmoor.discovery;

/** The states of the watch on the endpoint list. The list is known to be current only in {@link #SYNCED}. */
enum WatchState {
    /** No call is in progress. The next one starts when the state machine or the decision module requests it. */
    IDLE,
    /** A connection is being opened. */
    CONNECTING,
    /** A request for the full list or for a watch was sent, and its response is awaited. */
    REQUESTED,
    /** The response head of a watch was received, and its first object or heartbeat is awaited. */
    OPENED,
    /** The watch has reported something, and its next object or heartbeat is awaited. */
    SYNCED
}
