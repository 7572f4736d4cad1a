package wallmoor.decision;

import java.util.ArrayDeque;

/** Sums amounts over a sliding window of fixed length; what has left the window is not kept, asked for or not. */
final class SlidingWindowSum {
    private record Amount(long at, double amount) {}

    private final ArrayDeque<Amount> amounts = new ArrayDeque<>();
    private final long length;
    private double sum;

    /** An empty sum over a window of this length (microseconds). */
    SlidingWindowSum(long length) {
        this.length = length;
    }

    /** Adds an amount. */
    void add(long now, double amount) {
        drop(now); // some are added to all day and never asked: where there is no retry budget, say
        amounts.addLast(new Amount(now, amount));
        sum += amount;
    }

    /** The sum of what was added later than {@code now - length}. */
    double sum(long now) {
        drop(now);
        return sum;
    }

    private void drop(long now) {
        while (!amounts.isEmpty() && amounts.peekFirst().at() <= now - length) {
            sum -= amounts.removeFirst().amount();
        }
        if (amounts.isEmpty()) {
            sum = 0;
        }
    }
}
