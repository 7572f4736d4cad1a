package wallmoor.core;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;

/**
 * The timers of the routing policy and the timeouts of attempts, ordered by time. Guarded by the gatherer's lock, to
 * which its condition belongs; {@link #awaitDue} releases the lock while it waits. Times are microseconds on the
 * gatherer's clock.
 */
final class TimerQueue {
    /**
     * A timer of the policy or the timeout of an attempt.
     *
     * @param dueAt   the time at which the timer is due
     * @param token   the token of a policy timer; null for the timeout of an attempt
     * @param attempt the attempt that times out; null for a policy timer
     */
    record Timer(long dueAt, String token, Attempt attempt) {

        /** Returns whether this is the timeout of an attempt. */
        boolean isAttemptTimeout() {
            return attempt != null;
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.dueAt, b.dueAt));
    private final Condition earliestChanged;

    TimerQueue(Condition earliestChanged) {
        this.earliestChanged = earliestChanged;
    }

    /** Adds a timer of the policy. */
    void addPolicyTimer(long dueAt, String token) {
        add(new Timer(dueAt, token, null));
    }

    /** Adds the timeout of an attempt, which is due at its deadline. */
    void addAttemptTimeout(Attempt attempt) {
        add(new Timer(attempt.deadline, null, attempt));
    }

    @SuppressWarnings("ReferenceEquality") // checks whether this very timer is now the earliest
    private void add(Timer timer) {
        timers.add(timer);
        if (timers.peek() == timer) {
            earliestChanged.signal();
        }
    }

    /** Removes the timeout of an attempt that has ended. */
    void removeAttemptTimeout(Attempt attempt) {
        timers.removeIf(timer -> timer.attempt == attempt);
    }

    /** Waits until the earliest timer is due or an earlier one is added, at most this many microseconds. */
    @SuppressWarnings("WaitNotInLoop") // the caller checks the condition again in a loop
    void awaitDue(long maxWaitMicros, LongSupplier clock) throws InterruptedException {
        long wait = timers.isEmpty() ? maxWaitMicros : Math.min(maxWaitMicros, timers.peek().dueAt - clock.getAsLong());
        if (wait > 0) {
            earliestChanged.await(wait, TimeUnit.MICROSECONDS);
        }
    }

    /** Returns whether a timer is due at this time. */
    boolean hasDue(long now) {
        return !timers.isEmpty() && timers.peek().dueAt <= now;
    }

    /** Removes and returns the earliest timer. */
    Timer poll() {
        return timers.poll();
    }

    /** Returns the number of attempt timeouts in the queue. */
    int attemptTimeouts() {
        int count = 0;
        for (Timer timer : timers) {
            count += timer.isAttemptTimeout() ? 1 : 0;
        }
        return count;
    }
}
