package wallmoor.decision;

/** What a {@link RoutingPolicy} may do. Each call takes effect at the time of the event being handled. */
public interface RoutingActions {
    /**
     * Starts an attempt; attempts of a part are numbered from 0 in the order of these calls.
     *
     * @param giveUpAfter it ends as a time-out this long from now (microseconds)
     * @param beginWithin its first byte goes out sooner than this from now (microseconds), or never
     *                    ({@link AttemptEndReason#NOT_STARTED}); {@link Long#MAX_VALUE} where nothing but
     *                    {@code giveUpAfter} bounds it
     */
    void startAttempt(String part, String worker, long giveUpAfter, long beginWithin);

    /** Stops waiting for an attempt. */
    void cancelAttempt(String part, int attempt);

    /** Answers a query from the parts that have been answered. */
    void answer(String query, boolean complete);

    /** Final: load is shed, and it is harmless to repeat the query {@code retryAfter} microseconds from now. */
    void reject(String query, long retryAfter);

    /** Final: the query failed, and parts of it may have been executed. */
    void fail(String query);

    /** Asks for {@link RoutingPolicy#onTimer} with this token, {@code delay} microseconds from now. */
    void scheduleTimer(long delay, String token);

    /** Closes this gatherer's idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Sends bytes to all other gatherers (see {@link GossipMessage}). */
    void broadcast(byte[] message);

    /** Asks discovery for the list of workers and for its changes from then on. */
    void watchWorkerList();

    /** Writes a line for the operators. */
    void log(String line);
}
