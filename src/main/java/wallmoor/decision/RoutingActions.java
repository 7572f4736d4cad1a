package wallmoor.decision;

/** The actions of a {@link RoutingPolicy}. Each call takes effect at the time of the event being handled. */
public interface RoutingActions {
    /**
     * Starts an attempt; attempts of a part are numbered from 0 in the order of these calls.
     *
     * @param timeout       time from now after which the attempt ends as a timeout (microseconds)
     * @param maxStartDelay time from now within which the first byte must be sent (microseconds), else the attempt ends
     *                      as {@link AttemptEndReason#NOT_STARTED}; {@link Long#MAX_VALUE} if only {@code timeout}
     *                      bounds it
     */
    void startAttempt(String part, String worker, long timeout, long maxStartDelay);

    /** Cancels an attempt. */
    void cancelAttempt(String part, int attempt);

    /** Answers a query from the parts that have been answered. */
    void answer(String query, boolean complete);

    /**
     * Ends a query with a rejection: load is shed, and the client may safely repeat the query.
     *
     * @param retryAfter time from now after which the client may repeat it (microseconds)
     */
    void reject(String query, long retryAfter);

    /** Ends a query with a failure: parts of it may have been executed. */
    void fail(String query);

    /** Schedules a call of {@link RoutingPolicy#onTimer} with this token, {@code delay} microseconds from now. */
    void scheduleTimer(long delay, String token);

    /** Closes this gatherer's idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Sends a message to all other gatherers (see {@link GossipMessage}). */
    void broadcast(byte[] message);

    /** Requests the worker list from discovery, and its changes from then on. */
    void watchWorkerList();

    /** Writes a log line for the operators. */
    void log(String line);
}
