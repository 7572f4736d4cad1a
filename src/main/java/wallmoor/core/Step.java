package wallmoor.core;

import java.util.List;

/** What a query's thread is to do next. */
public sealed interface Step {

    /** Send these attempts, all at one worker, in one call; {@code fresh}: close idle connections to it first. */
    record Send(Worker worker, List<Attempt> attempts, boolean fresh) implements Step {}

    /** Call an attempt off, and report it as this once that can be seen by the worker. */
    record Cancel(Attempt attempt, Outcome as) implements Step {}

    /** The final answer; nothing follows it. */
    sealed interface Final extends Step {}

    /** The parts that are in make the answer. */
    record Answer(boolean whole, List<Value> values) implements Final {}

    /**
     * Turned away: harmless to ask again after so many microseconds.
     *
     * @param tried whether parts had been sent: the workers failed it, rather than that it was not begun
     * @param late  whether workers had been waited for in vain
     */
    record Refuse(long comeBackAfter, boolean tried, boolean late) implements Final {}

    /**
     * Given up.
     *
     * @param late whether workers had been waited for in vain
     * @param ran  whether any part may have run, or may yet
     */
    record Fail(boolean late, boolean ran) implements Final {}

    /** The client has gone: nobody waits for an answer. */
    record Gone() implements Final {}

    /** What a worker gave for a shard. */
    record Value(int shard, byte[] bytes) {}
}
