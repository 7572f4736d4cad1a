package wallmoor.endpoints;

import java.util.Collection;
import java.util.PriorityQueue;

/** A queue of the endpoints that are to be reviewed at a given time without an event. Times are in microseconds. */
final class ReviewSchedule {
    private record ScheduledReview(long at, String id) implements Comparable<ScheduledReview> {
        @Override
        public int compareTo(ScheduledReview other) {
            return Long.compare(at, other.at);
        }
    }

    private final PriorityQueue<ScheduledReview> queue = new PriorityQueue<>();

    /**
     * Schedules a review of the endpoint, unless its time has passed or an earlier review is scheduled already; that
     * review will schedule a later one if it is still needed.
     */
    void schedule(RegisteredEndpoint endpoint, long now, long at) {
        if (at > now && (endpoint.reviewAt <= now || at < endpoint.reviewAt)) {
            endpoint.reviewAt = at;
            queue.add(new ScheduledReview(at, endpoint.id));
        }
    }

    /** Removes the ids whose review is due from the queue, and adds them to {@code ids}. */
    void takeDue(long now, Collection<String> ids) {
        while (!queue.isEmpty() && queue.peek().at <= now) {
            ids.add(queue.poll().id);
        }
    }

    /** Returns when the next review is due, or {@link Long#MAX_VALUE} for never. */
    long nextAt() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
    }
}
