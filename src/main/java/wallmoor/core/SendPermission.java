package wallmoor.core;

/**
 * The result of the check whether an attempt may be sent. Transports call {@link Attempt#checkPermission} immediately
 * before the first byte of each request, because the query, the attempt or the worker may have changed since the policy
 * decided on the attempt. An attempt of which nothing may be sent ends as {@link AttemptOutcome#NOT_SENT}.
 */
public enum SendPermission {
    /** The attempt may be sent. */
    GRANTED,
    /** The client has disconnected. */
    CLIENT_DISCONNECTED,
    /** The query already has its final step. */
    QUERY_FINISHED,
    /** The attempt was cancelled. */
    CANCELLED,
    /** The worker is draining, was removed from the endpoint list or is banned by an operator. */
    NOT_SERVING,
    /** The endpoint list gives the worker another address than that of the connection. */
    ADDRESS_CHANGED,
    /** The attempt's deadline has passed or is less than a millisecond away. */
    DEADLINE_EXCEEDED,
    /** The attempt is a retry of a part that may have run, and the idempotency key no longer protects it. */
    IDEMPOTENCY_WINDOW_EXPIRED;

    /** Returns whether the attempt may be sent. */
    public boolean granted() {
        return this == GRANTED;
    }

    /** Returns whether an attempt that has begun may send a further request. The window limits only the beginning. */
    public boolean mayContinue() {
        return this == GRANTED || this == IDEMPOTENCY_WINDOW_EXPIRED;
    }
}
