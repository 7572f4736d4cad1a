package wallmoor.core;

import java.util.List;

/** What a query's thread is to do next. */
public sealed interface Step {

    /** Send these attempts, all at one worker, in one call; {@code fresh}: close idle connections to it first. */
    record Send(Worker worker, List<Attempt> attempts, boolean closeIdleFirst) implements Step {}

    /** Call an attempt off, and report it as this once that can be seen by the worker. */
    record Cancel(Attempt attempt, AttemptOutcome outcome) implements Step {}

    /** The final answer; nothing follows it. */
    sealed interface FinalStep extends Step {}

    /** The parts that are in make the answer. */
    record Answer(boolean complete, List<PartValue> values) implements FinalStep {}

    /**
     * Turned away: harmless to ask again after so many microseconds.
     *
     * @param attempted whether parts had been sent: the workers failed it, rather than that it was not begun
     * @param timedOut  whether workers had been waited for in vain
     */
    record Reject(long retryAfter, boolean attempted, boolean timedOut) implements FinalStep {}

    /**
     * Given up.
     *
     * @param timedOut whether workers had been waited for in vain
     * @param mayHaveRun  whether any part may have run, or may yet
     */
    record Fail(boolean timedOut, boolean mayHaveRun) implements FinalStep {}

    /** The client has gone: nobody waits for an answer. */
    record ClientGone() implements FinalStep {}

    /** What a worker gave for a shard. */
    record PartValue(int shard, byte[] bytes) {}
}
