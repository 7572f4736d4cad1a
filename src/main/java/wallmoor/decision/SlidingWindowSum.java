package wallmoor.decision;

import java.util.ArrayDeque;

/** The sum of amounts added within a sliding window of fixed length. Expired amounts are removed at each call. */
final class SlidingWindowSum {
    private record Amount(long at, double amount) {}

    private final ArrayDeque<Amount> amounts = new ArrayDeque<>();
    private final long windowLength;
    private double sum;

    /** Creates an empty sum over a window of this length (microseconds). */
    SlidingWindowSum(long windowLength) {
        this.windowLength = windowLength;
    }

    /** Adds an amount. */
    void add(long now, double amount) {
        // some sums are never read, such as the arrivals where there is no retry budget
        evictExpired(now);
        amounts.addLast(new Amount(now, amount));
        sum += amount;
    }

    /** Returns the sum of the amounts added later than {@code now - windowLength}. */
    double sum(long now) {
        evictExpired(now);
        return sum;
    }

    private void evictExpired(long now) {
        while (!amounts.isEmpty() && amounts.peekFirst().at() <= now - windowLength) {
            sum -= amounts.removeFirst().amount();
        }
        if (amounts.isEmpty()) {
            sum = 0;
        }
    }
}
