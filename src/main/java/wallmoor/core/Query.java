package wallmoor.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.Condition;

/**
 * A query that the gatherer has taken, and the steps that wait for its thread. Guarded by the gatherer's lock, but for
 * what {@link Attempt#checkPermission} reads.
 */
public final class Query {
    /** A part as it was asked for. */
    public record PartRequest(int shard, double weight, long hint) {}

    static final class QueryPart {
        final String id;
        final int shard;
        byte[] value;
        int attempts;

        QueryPart(String id, int shard) {
            this.id = id;
            this.shard = shard;
        }
    }

    final String id;
    /** The class that it came with, whatever settings say since. */
    final String className;
    final long deadline;
    final Object attachment;
    final List<QueryPart> parts = new ArrayList<>();
    final List<Attempt> inFlight = new ArrayList<>();
    /** Bounded by the parts and the most attempts of each. */
    final Deque<Step> steps = new ArrayDeque<>();
    final Condition stepAvailable;
    /** Set under the gatherer's lock; read without it. */
    volatile Step.FinalStep finalStep;
    /** Set before the gatherer's lock is waited for, so that nothing more is written meanwhile. */
    volatile boolean clientDisconnected;
    /** Whether an attempt was called off unanswered before the end. */
    boolean cancelledUnanswered;

    /** Whether an attempt has ended otherwise than by proof that it never ran. */
    boolean attemptMayHaveRun;

    Query(String id, String className, long deadline, Object carries, Condition ready) {
        this.id = id;
        this.className = className;
        this.deadline = deadline;
        this.attachment = carries;
        this.stepAvailable = ready;
    }

    /** Its id. */
    public String id() {
        return id;
    }

    /** When its client gives up, on the gatherer's clock. */
    public long deadline() {
        return deadline;
    }

    /** What the front gave along for its workers. */
    public Object attachment() {
        return attachment;
    }

    /** Whether any part has been sent. */
    boolean wasAttempted() {
        return parts.stream().anyMatch(p -> p.attempts > 0);
    }

    /** Whether any part may have run, or may yet: what is out may be with its worker already. */
    boolean mayHaveRun() {
        return attemptMayHaveRun || !inFlight.isEmpty();
    }

    QueryPart part(String partId) {
        for (QueryPart p : parts) {
            if (p.id.equals(partId)) {
                return p;
            }
        }
        return null;
    }

    List<Step.PartValue> receivedValues() {
        var in = new ArrayList<Step.PartValue>();
        for (QueryPart p : parts) {
            if (p.value != null) {
                in.add(new Step.PartValue(p.shard, p.value));
            }
        }
        return in;
    }
}
