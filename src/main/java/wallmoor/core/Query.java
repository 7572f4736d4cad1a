package wallmoor.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.function.Predicate;

/**
 * A query that the gatherer has opened, with the pending steps for its thread. Guarded by the gatherer's lock, except
 * for immutable fields and those that {@link Attempt#checkPermission} reads.
 */
public final class Query {
    /**
     * The request for one part of a query.
     *
     * @param shard    the index of the shard to read
     * @param weight   the part's share of the answer; the weights of a query add up to 1
     * @param workHint the client's estimate of the work; negative for none
     */
    public record PartRequest(int shard, double weight, long workHint) {}

    /** A part of the query and its state. */
    static final class QueryPart {
        final String id;
        final int shard;
        /** The value from a worker; null until the part was served. */
        byte[] value;
        /** The number of attempts so far, which is also the number of the next attempt. */
        int attempts;

        QueryPart(String id, int shard) {
            this.id = id;
            this.shard = shard;
        }
    }

    final String id;
    /** The name that the query's class had when it was opened; later changes of the settings do not apply. */
    final String className;
    /**
     * The time by which the query has its final step: when the client gives up, or earlier if the gatherer ends before;
     * microseconds on the gatherer's clock.
     */
    private long deadline;
    /** The key by which workers recognise a repeat of the query's parts; null for none. */
    private final String idempotencyKey;
    /** Whether a part may run twice, or its workers recognise that it did. */
    final boolean mayRunTwice;
    final Object attachment;
    /** Whether a part's value alone is enough; null if the query's class tells which share of the parts is. */
    private final Predicate<byte[]> decidingValue;
    final List<QueryPart> parts = new ArrayList<>();
    final List<Attempt> inFlight = new ArrayList<>();
    /** Bounded by the number of parts and the maximum number of attempts for each. */
    final Deque<Step> steps = new ArrayDeque<>();
    /** Signalled when {@link #steps} or {@link #finalStep} has changed. */
    final Condition stepAvailable;
    /** Set once under the gatherer's lock; read without the lock. */
    volatile Step.FinalStep finalStep;
    /** Set before waiting for the gatherer's lock, so that no further attempt is written meanwhile. */
    volatile boolean clientDisconnected;
    /** True if an attempt was cancelled before it was answered and before the final step. */
    boolean cancelledUnanswered;
    /** True if an attempt has ended with an outcome that does not prove that it never ran. */
    boolean attemptMayHaveRun;

    /**
     * Creates a query without an attempt.
     *
     * @param mayRunTwice    whether a part may run twice, or its workers recognise that it did
     * @param latestDeadline the time by which every query has to have its final step
     */
    Query(QueryRequest request, String className, boolean mayRunTwice, long latestDeadline, Condition stepAvailable) {
        this.id = request.id();
        this.className = className;
        this.deadline = Math.min(request.deadline(), latestDeadline);
        this.idempotencyKey = request.idempotencyKey();
        this.mayRunTwice = mayRunTwice;
        this.attachment = request.attachment();
        this.decidingValue = request.decidingValue();
        this.stepAvailable = stepAvailable;
        for (PartRequest part : request.parts()) {
            parts.add(new QueryPart(OpenRequests.partId(id, part.shard()), part.shard()));
        }
    }

    /** Returns the id that the client assigned to the query. */
    public String id() {
        return id;
    }

    /** Returns the time by which the query has its final step, microseconds on the gatherer's clock. */
    long deadline() {
        return deadline;
    }

    /** Moves the deadline forward to this time, unless it is earlier, and wakes the query's thread to wait for it. */
    void limitDeadline(long latest) {
        deadline = Math.min(deadline, latest);
        stepAvailable.signalAll();
    }

    /** Returns the key that each attempt of a part carries to its worker, or null. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    /** Returns the data that the front attached for its transport; may be null. */
    public Object attachment() {
        return attachment;
    }

    /** Returns whether any part has been attempted. */
    boolean wasAttempted() {
        return parts.stream().anyMatch(part -> part.attempts > 0);
    }

    /** Returns whether any part may have run or may still run; an attempt in flight may have reached its worker. */
    boolean mayHaveRun() {
        return attemptMayHaveRun || !inFlight.isEmpty();
    }

    /** Returns the part with this id, or null. */
    QueryPart part(String partId) {
        for (QueryPart part : parts) {
            if (part.id.equals(partId)) {
                return part;
            }
        }
        return null;
    }

    /** Returns whether this value of a part alone is enough to answer the query. */
    boolean isDecidedBy(byte[] value) {
        return decidingValue != null && decidingValue.test(value);
    }

    /** Returns the values of the parts that were served, in the order in which the parts were requested. */
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
