package wallmoor.decision;

/**
 * A class of queries. Times are in microseconds.
 *
 * @param priorityWeight      value of an answer in time
 * @param lateValueShare      share of the priority weight that an answer after the latency objective is worth
 * @param latencyObjective    time from the client's first attempt within which an answer has its full value
 * @param objectivePerWork    increase of the objective per unit of the query's work hint; 0 for none
 * @param clientTimeout       time after which the client gives up, over all its attempts
 * @param idempotency         the effect of a second execution of a part
 * @param deduplicationWindow for {@link Idempotency#WITH_KEY}: time for which a store recognises the key
 * @param completeShare       share of the first phase's weight that makes a complete answer (n of k)
 * @param minimumShare        minimum share of that weight for any answer
 * @param partialValue        value of an incomplete answer, which is multiplied by its share of {@code completeShare}
 * @param followUpParts       number of parts of the second phase; 0 for a single phase
 */
public record QueryClass(double priorityWeight, double lateValueShare, long latencyObjective, double objectivePerWork,
        long clientTimeout, Idempotency idempotency, long deduplicationWindow, double completeShare,
        double minimumShare, double partialValue, int followUpParts) {

    /** Returns whether queries of this class carry an idempotency key. */
    public boolean usesIdempotencyKey() {
        return idempotency == Idempotency.WITH_KEY;
    }

    /** Returns whether a part of a query may run twice, or its store recognises that by the query's key. */
    public boolean mayRunTwice(boolean withIdempotencyKey) {
        QueryClass asApplied = withIdempotencyKey ? this : withoutIdempotencyKey();
        return asApplied.idempotency != Idempotency.NOT_IDEMPOTENT;
    }

    /**
     * Returns the class as it applies to a query without an idempotency key: where a store needs the key to recognise
     * a repeat, a part that may have been executed must not be sent again.
     */
    QueryClass withoutIdempotencyKey() {
        return usesIdempotencyKey()
                ? new QueryClass(priorityWeight, lateValueShare, latencyObjective, objectivePerWork, clientTimeout,
                        Idempotency.NOT_IDEMPOTENT, deduplicationWindow, completeShare, minimumShare, partialValue,
                        followUpParts)
                : this;
    }
}
