package wallmoor.core;

/**
 * Whether an attempt may begin at this moment. Who writes attempts asks {@link Attempt#checkPermission} just before the
 * first
 * byte: much may have happened since the attempt was decided. What is forbidden ends as
 * {@link AttemptOutcome#NOT_SENT}.
 */
public enum SendPermission {
    /** It may begin. */
    GRANTED,
    /** The client has left. */
    CLIENT_DISCONNECTED,
    /** The query has its final answer. */
    QUERY_FINISHED,
    /** The attempt was called off. */
    CANCELLED,
    /** The worker drains, has left the list or was taken out by an operator. */
    NOT_SERVING,
    /** The list has given the worker another address than the one to be written to. */
    ADDRESS_CHANGED,
    /** The attempt's time is over: its client gives up, or no answer would earn anything. */
    DEADLINE_EXCEEDED,
    /** It repeats what may have run, and the time in which a repeat is harmless is over. */
    IDEMPOTENCY_WINDOW_EXPIRED;

    /** Whether the attempt may begin. */
    public boolean granted() {
        return this == GRANTED;
    }
}
