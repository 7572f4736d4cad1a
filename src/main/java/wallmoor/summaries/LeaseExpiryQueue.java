package wallmoor.summaries;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The leases of a {@link SummaryCache}, ordered by their end. A renewed lease is added again; its earlier end is
 * skipped when it is reached.
 */
final class LeaseExpiryQueue {
    private record Expiry(long end, CachedSummary entry) {}

    private final PriorityQueue<Expiry> queue = new PriorityQueue<>((a, b) -> Long.compare(a.end, b.end));

    /** Adds an entry at the current end of its lease. */
    void add(CachedSummary entry) {
        queue.add(new Expiry(entry.leaseEnd(), entry));
    }

    /** Removes the entries whose lease has ended by {@code now}, in microseconds, and passes them on. */
    void expire(long now, Consumer<CachedSummary> onExpired) {
        while (!queue.isEmpty() && queue.peek().end <= now) {
            CachedSummary entry = queue.poll().entry;
            if (entry.leaseEnd() <= now) {
                onExpired.accept(entry);
            }
        }
    }
}
