package wallmoor.summaries;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The leases of a {@link SummaryCache} by their end. A renewed lease is added again: its earlier end is skipped when
 * its time comes.
 */
final class LeaseExpiryQueue {
    private record Expiry(long at, CachedSummary entry) {}

    private final PriorityQueue<Expiry> queue = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

    /** Adds an entry at the present end of its lease. */
    void add(CachedSummary entry) {
        queue.add(new Expiry(entry.leaseEnd(), entry));
    }

    /** Passes on each entry whose lease has ended at this time, in microseconds. */
    void expire(long now, Consumer<CachedSummary> ended) {
        while (!queue.isEmpty() && queue.peek().at <= now) {
            CachedSummary entry = queue.poll().entry;
            if (entry.leaseEnd() <= now) {
                ended.accept(entry);
            }
        }
    }
}
