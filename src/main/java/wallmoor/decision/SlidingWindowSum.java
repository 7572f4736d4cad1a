package wallmoor.decision;

import java.util.ArrayDeque;

/**
 * Sums amounts over a sliding window of fixed length; what has left the window is not kept, whether asked for or not.
 */
final class SlidingWindowSum {
    private record Entry(long at, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final long length;
    private double sum;

    SlidingWindowSum(long length) {
        this.length = length;
    }

    void add(long now, double amount) {
        drop(now); // some are added to all day and never asked: where no budget is set, say
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    /** The sum of what was added later than {@code now - length}. */
    double sum(long now) {
        drop(now);
        return sum;
    }

    private void drop(long now) {
        while (!entries.isEmpty() && entries.peekFirst().at() <= now - length) {
            sum -= entries.removeFirst().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
