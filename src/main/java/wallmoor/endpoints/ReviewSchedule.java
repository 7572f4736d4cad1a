package wallmoor.endpoints;

import java.util.Collection;
import java.util.PriorityQueue;

/** When which endpoints are to be reviewed for time's sake alone. Times are microseconds. */
final class ReviewSchedule {
    private record ScheduledReview(long at, String id) implements Comparable<ScheduledReview> {
        @Override
        public int compareTo(ScheduledReview other) {
            return Long.compare(at, other.at);
        }
    }

    private final PriorityQueue<ScheduledReview> queue = new PriorityQueue<>();

    /**
     * Has the endpoint reviewed at this time, if that is still to come. Where an earlier review is scheduled already,
     * that one finds out by itself what is left to wait.
     */
    void schedule(RegisteredEndpoint endpoint, long now, long at) {
        if (at > now && (endpoint.reviewAt <= now || at < endpoint.reviewAt)) {
            endpoint.reviewAt = at;
            queue.add(new ScheduledReview(at, endpoint.id));
        }
    }

    /** Moves the ids whose review is due to {@code ids}. */
    void takeDue(long now, Collection<String> ids) {
        while (!queue.isEmpty() && queue.peek().at <= now) {
            ids.add(queue.poll().id);
        }
    }

    /** When the next review is due, or {@link Long#MAX_VALUE}. */
    long nextAt() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
    }
}
