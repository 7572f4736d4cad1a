package wallmoor.core;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;

/**
 * The timers of the routing policy and the timeouts of attempts, by time. Guarded by the gatherer's lock, to which its
 * condition belongs; {@link #awaitDue} releases the lock while it waits. Times are microseconds on the gatherer's
 * clock.
 */
final class TimerQueue {
    /** A timer of the policy, which has a token, or the timeout of an attempt. */
    record Timer(long at, String token, Attempt attempt) {

        /** Whether this is the timeout of an attempt. */
        boolean isAttemptTimeout() {
            return attempt != null;
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Condition earliestChanged;

    TimerQueue(Condition earliestChanged) {
        this.earliestChanged = earliestChanged;
    }

    /** Adds a timer of the policy. */
    void addPolicyTimer(long at, String token) {
        add(new Timer(at, token, null));
    }

    /** Adds the timeout of an attempt, which is due at its deadline. */
    void addAttemptTimeout(Attempt attempt) {
        add(new Timer(attempt.deadline, null, attempt));
    }

    @SuppressWarnings("ReferenceEquality") // whether it is this one that has come first
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

    /** Waits until the earliest timer is due, at most so many microseconds, or until an earlier one is added. */
    @SuppressWarnings("WaitNotInLoop") // the caller's loop looks again
    void awaitDue(long atMostMicros, LongSupplier clock) throws InterruptedException {
        long wait = timers.isEmpty() ? atMostMicros : Math.min(atMostMicros, timers.peek().at - clock.getAsLong());
        if (wait > 0) {
            earliestChanged.await(wait, TimeUnit.MICROSECONDS);
        }
    }

    /** Whether a timer is due at this time. */
    boolean hasDue(long now) {
        return !timers.isEmpty() && timers.peek().at <= now;
    }

    /** Takes out the earliest timer. */
    Timer poll() {
        return timers.poll();
    }

    /** The number of timeouts of attempts. */
    int attemptTimeouts() {
        int count = 0;
        for (Timer timer : timers) {
            count += timer.isAttemptTimeout() ? 1 : 0;
        }
        return count;
    }
}
