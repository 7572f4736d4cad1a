package wallmoor.decision;

import java.util.ArrayDeque;

/** Sums amounts over a sliding window of fixed length. */
final class WindowCounter {
    private record Entry(long at, double amount) {
    }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final long length;
    private double sum;

    WindowCounter(long length) {
        this.length = length;
    }

    void add(long now, double amount) {
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    /** The sum of what was added later than {@code now - length}. */
    double sum(long now) {
        while (!entries.isEmpty() && entries.peekFirst().at() <= now - length) {
            sum -= entries.removeFirst().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
        return sum;
    }
}
