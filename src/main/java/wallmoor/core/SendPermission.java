package wallmoor.core;

/**
 * Whether an attempt may begin at this moment. Whoever writes attempts asks {@link Attempt#checkPermission} just before
 * the first byte, as much may have happened since the attempt was decided. What is forbidden ends as
 * {@link AttemptOutcome#NOT_SENT}.
 */
public enum SendPermission {
    /** It may begin. */
    GRANTED,
    /** The client has disconnected. */
    CLIENT_DISCONNECTED,
    /** The query has its final step. */
    QUERY_FINISHED,
    /** The attempt was cancelled. */
    CANCELLED,
    /** The worker is draining, has left the endpoint list or was banned by an operator. */
    NOT_SERVING,
    /** The list has given the worker another address than the one to be written to. */
    ADDRESS_CHANGED,
    /** The attempt's deadline is over, or less than a millisecond away. */
    DEADLINE_EXCEEDED,
    /** It is a retry of what may have run, and its idempotency key no longer protects it. */
    IDEMPOTENCY_WINDOW_EXPIRED;

    /** Whether the attempt may begin. */
    public boolean granted() {
        return this == GRANTED;
    }
}
