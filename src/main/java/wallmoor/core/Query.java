package wallmoor.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.Condition;

/**
 * A query that the gatherer has opened, and the steps that wait for its thread. Guarded by the gatherer's lock, but for
 * what {@link Attempt#checkPermission} reads, and for what never changes.
 */
public final class Query {
    /**
     * A part as it is requested.
     *
     * @param weight   its share of the answer; the weights of a query add up to 1
     * @param workHint how much work it is, by the client's estimate; negative for none
     */
    public record PartRequest(int shard, double weight, long workHint) {}

    /** A part with what came of it. */
    static final class QueryPart {
        final String id;
        final int shard;
        /** What a worker gave; null until it was served. */
        byte[] value;
        /** The number of attempts so far, which is the number of the next one. */
        int attempts;

        QueryPart(String id, int shard) {
            this.id = id;
            this.shard = shard;
        }
    }

    final String id;
    /** The name of the class that it came with, whatever the settings say since. */
    final String className;
    /** When its client gives up: microseconds on the gatherer's clock. */
    final long deadline;
    final Object attachment;
    final List<QueryPart> parts = new ArrayList<>();
    final List<Attempt> inFlight = new ArrayList<>();
    /** Bounded by the parts and the most attempts of each. */
    final Deque<Step> steps = new ArrayDeque<>();
    /** Signalled when {@link #steps} or {@link #finalStep} has changed. */
    final Condition stepAvailable;
    /** Set once under the gatherer's lock; read without it. */
    volatile Step.FinalStep finalStep;
    /** Set before the gatherer's lock is waited for, so that nothing more is written meanwhile. */
    volatile boolean clientDisconnected;
    /** Whether an attempt was cancelled unanswered before the final step. */
    boolean cancelledUnanswered;
    /** Whether an attempt has ended otherwise than by proof that it never ran. */
    boolean attemptMayHaveRun;

    Query(String id, String className, long deadline, Object attachment, Condition stepAvailable) {
        this.id = id;
        this.className = className;
        this.deadline = deadline;
        this.attachment = attachment;
        this.stepAvailable = stepAvailable;
    }

    /** Adds the parts that are requested. */
    void addParts(List<PartRequest> requested) {
        for (PartRequest part : requested) {
            parts.add(new QueryPart(OpenRequests.partId(id, part.shard()), part.shard()));
        }
    }

    /** The id that its client gave it. */
    public String id() {
        return id;
    }

    /** When its client gives up: microseconds on the gatherer's clock. */
    public long deadline() {
        return deadline;
    }

    /** What the front gave along for its transport. */
    public Object attachment() {
        return attachment;
    }

    /** Whether any part has been attempted. */
    boolean wasAttempted() {
        return parts.stream().anyMatch(part -> part.attempts > 0);
    }

    /** Whether any part may have run, or may yet: an attempt in flight may be with its worker already. */
    boolean mayHaveRun() {
        return attemptMayHaveRun || !inFlight.isEmpty();
    }

    /** The part of this id, or null. */
    QueryPart part(String partId) {
        for (QueryPart part : parts) {
            if (part.id.equals(partId)) {
                return part;
            }
        }
        return null;
    }

    /** The values of the parts that were served, in the order in which they were requested. */
    List<Step.PartValue> receivedValues() {
        var values = new ArrayList<Step.PartValue>();
        for (QueryPart part : parts) {
            if (part.value != null) {
                values.add(new Step.PartValue(part.shard, part.value));
            }
        }
        return values;
    }
}
