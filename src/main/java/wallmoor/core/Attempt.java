package wallmoor.core;

/**
 * One attempt to run one part of a query on one worker. It ends exactly once, by {@link Gatherer#report}. All times are
 * microseconds on the gatherer's clock.
 */
public final class Attempt {
    /** The request to a worker carries its remaining time in whole milliseconds, so less than one cannot be sent. */
    private static final long MICROS_PER_MILLI = 1_000;

    final Query query;
    final Query.QueryPart part;
    final int number;
    final Worker worker;
    final long assignedAt;
    final long deadline;
    /** Time before which the attempt must be sent: an idempotency key protects a retry for a limited time only. */
    private final long startBefore;
    /** Start of the connect that the attempt waits or waited for; never later than the time of assignment. */
    private volatile long connectStartedAt;
    /** Set once under the gatherer's lock; read without the lock by the threads that write to workers. */
    volatile boolean cancelled;
    /** True once the end of the attempt has been reported. Guarded by the gatherer's lock. */
    boolean ended;

    Attempt(Query query, Query.QueryPart part, int number, Worker worker, long assignedAt, long deadline,
            long startBefore) {
        this.query = query;
        this.part = part;
        this.number = number;
        this.worker = worker;
        this.assignedAt = assignedAt;
        this.connectStartedAt = assignedAt;
        this.deadline = deadline;
        this.startBefore = startBefore;
    }

    /** Returns the query that this attempt belongs to. */
    public Query query() {
        return query;
    }

    /** Returns the id of the part, which is the same for all attempts of the part. */
    public String partId() {
        return part.id;
    }

    /** Returns the index of the shard that the part reads. */
    public int shard() {
        return part.shard;
    }

    /** Returns the worker that the attempt is sent to. */
    public Worker worker() {
        return worker;
    }

    /**
     * Checks whether the attempt may be sent now on a connection to this address. Takes no lock, because it is called
     * for each attempt immediately before writing.
     *
     * @param now     the time on the gatherer's clock (microseconds)
     * @param address the address that the connection leads to
     */
    public SendPermission checkPermission(long now, String address) {
        if (query.clientDisconnected) {
            return SendPermission.CLIENT_DISCONNECTED;
        }
        if (query.finalStep != null) {
            return SendPermission.QUERY_FINISHED;
        }
        if (cancelled) {
            return SendPermission.CANCELLED;
        }
        if (!worker.isServing()) {
            return SendPermission.NOT_SERVING;
        }
        if (!worker.address().equals(address)) {
            return SendPermission.ADDRESS_CHANGED;
        }
        if (now + MICROS_PER_MILLI > deadline) {
            return SendPermission.DEADLINE_EXCEEDED;
        }
        return now < startBefore ? SendPermission.GRANTED : SendPermission.IDEMPOTENCY_WINDOW_EXPIRED;
    }

    /** Returns the time budget to send to the worker, in milliseconds: the time to the deadline, rounded down. */
    public long remainingMillis(long now) {
        return (deadline - now) / MICROS_PER_MILLI;
    }

    /**
     * Records that the attempt waits for a connect that began at this time. If the connect fails, the duration of the
     * attempt is counted from there, also where the attempt was assigned after the connect had begun.
     */
    public void recordConnectStart(long startedAt) {
        connectStartedAt = Math.min(assignedAt, startedAt);
    }

    /** Returns the time from which the attempt's duration counts: for a failed connect, the start of the connect. */
    long startedAt(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED ? connectStartedAt : assignedAt;
    }

    /** Returns the time at which the attempt times out. */
    public long deadline() {
        return deadline;
    }
}
