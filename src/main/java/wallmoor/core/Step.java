package wallmoor.core;

import java.util.List;

/** The next action for the thread of a query. */
public sealed interface Step {

    /**
     * Sends attempts to one worker in one call.
     *
     * @param closeIdleFirst whether idle connections to the worker are to be closed first
     */
    record Send(Worker worker, List<Attempt> attempts, boolean closeIdleFirst) implements Step {}

    /** Cancels an attempt, which is reported with this outcome once the cancellation is visible to its worker. */
    record Cancel(Attempt attempt, AttemptOutcome outcome) implements Step {}

    /** The last step of a query. */
    sealed interface FinalStep extends Step {}

    /** Answers the query, completely or partially, from the parts that were served. */
    record Answer(boolean complete, List<PartValue> values) implements FinalStep {}

    /**
     * Rejects the query, which the client may safely retry later.
     *
     * @param retryAfter time after which to retry (microseconds)
     * @param attempted  whether any part was attempted, so that workers failed the query; otherwise it was not begun
     * @param timedOut   whether workers did not answer in time
     */
    record Reject(long retryAfter, boolean attempted, boolean timedOut) implements FinalStep {}

    /**
     * Fails the query.
     *
     * @param timedOut   whether workers did not answer in time
     * @param mayHaveRun whether any part may have run or may still run
     */
    record Fail(boolean timedOut, boolean mayHaveRun) implements FinalStep {}

    /** Ends the query without an answer, because the client has disconnected. */
    record ClientGone() implements FinalStep {}

    /** The value from a worker for a shard. */
    record PartValue(int shard, byte[] bytes) {}
}
