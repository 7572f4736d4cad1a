package wallmoor.decision;

/**
 * A class of queries. Times are in microseconds.
 *
 * @param priorityWeight      what an answer in time earns
 * @param lateValueShare      share of the priority weight that an answer after the latency objective earns
 * @param latencyObjective    an answer within this time from the client's first attempt earns in full
 * @param objectivePerWork    the objective grows by this many times the query's work hint; 0 for none
 * @param clientTimeout       the client gives up after this time, over all its attempts
 * @param idempotency         what a second execution of a part does
 * @param deduplicationWindow for {@link Idempotency#WITH_KEY}: a store recognises the key for this long
 * @param completeShare       share of the first phase's weight that makes a complete answer (n of k)
 * @param minimumShare        least share of that weight for any answer
 * @param partialValue        what an answer that is not complete earns, times its share over {@code completeShare}
 * @param followUpParts       parts of the second phase; 0 for one phase
 */
public record QueryClass(double priorityWeight, double lateValueShare, long latencyObjective, double objectivePerWork,
        long clientTimeout, Idempotency idempotency, long deduplicationWindow, double completeShare,
        double minimumShare, double partialValue, int followUpParts) {}
