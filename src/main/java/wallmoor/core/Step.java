package wallmoor.core;

import java.util.List;

/** What the thread of a query is to do next. */
public sealed interface Step {

    /**
     * Send these attempts, all at one worker, in one call.
     *
     * @param closeIdleFirst whether idle connections to the worker are to be closed before
     */
    record Send(Worker worker, List<Attempt> attempts, boolean closeIdleFirst) implements Step {}

    /** Cancel an attempt, and report it with this outcome once its worker can see that. */
    record Cancel(Attempt attempt, AttemptOutcome outcome) implements Step {}

    /** Ends the query; nothing follows it. */
    sealed interface FinalStep extends Step {}

    /** The parts that were served make the answer, complete or partial. */
    record Answer(boolean complete, List<PartValue> values) implements FinalStep {}

    /**
     * Rejected: harmless to ask again later.
     *
     * @param retryAfter microseconds until then
     * @param attempted  whether parts had been sent: the workers failed it, rather than that it was not begun
     * @param timedOut   whether workers had been waited for in vain
     */
    record Reject(long retryAfter, boolean attempted, boolean timedOut) implements FinalStep {}

    /**
     * Failed.
     *
     * @param timedOut   whether workers had been waited for in vain
     * @param mayHaveRun whether any part may have run, or may yet
     */
    record Fail(boolean timedOut, boolean mayHaveRun) implements FinalStep {}

    /** The client has disconnected: nobody waits for an answer. */
    record ClientGone() implements FinalStep {}

    /** What a worker gave for a shard. */
    record PartValue(int shard, byte[] bytes) {}
}
