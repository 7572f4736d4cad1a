package wallmoor.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.Condition;

/**
 * A query that the gatherer has taken, and the steps that wait for its thread. Guarded by the gatherer's lock, but for
 * what {@link Attempt#permit} reads.
 */
public final class Query {
    /** A part as it was asked for. */
    public record Ask(int shard, double weight, long hint) {}

    static final class Part {
        final String id;
        final int shard;
        byte[] value;
        int attempts;

        Part(String id, int shard) {
            this.id = id;
            this.shard = shard;
        }
    }

    final String id;
    /** The class that it came with, whatever settings say since. */
    final String className;
    final long deadline;
    final Object carries;
    final List<Part> parts = new ArrayList<>();
    final List<Attempt> out = new ArrayList<>();
    /** Bounded by the parts and the most attempts of each. */
    final Deque<Step> steps = new ArrayDeque<>();
    final Condition ready;
    /** Set under the gatherer's lock; read without it. */
    volatile Step.Final end;
    /** Set before the gatherer's lock is waited for, so that nothing more is written meanwhile. */
    volatile boolean clientGone;
    /** Whether an attempt was called off unanswered before the end. */
    boolean gaveUp;

    /** Whether an attempt has ended otherwise than by proof that it never ran. */
    boolean ran;

    Query(String id, String className, long deadline, Object carries, Condition ready) {
        this.id = id;
        this.className = className;
        this.deadline = deadline;
        this.carries = carries;
        this.ready = ready;
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
    public Object carries() {
        return carries;
    }

    /** Whether any part has been sent. */
    boolean tried() {
        return parts.stream().anyMatch(p -> p.attempts > 0);
    }

    /** Whether any part may have run, or may yet: what is out may be with its worker already. */
    boolean mayHaveRun() {
        return ran || !out.isEmpty();
    }

    Part part(String partId) {
        for (Part p : parts) {
            if (p.id.equals(partId)) {
                return p;
            }
        }
        return null;
    }

    List<Step.Value> values() {
        var in = new ArrayList<Step.Value>();
        for (Part p : parts) {
            if (p.value != null) {
                in.add(new Step.Value(p.shard, p.value));
            }
        }
        return in;
    }
}
