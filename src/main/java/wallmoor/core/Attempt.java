package wallmoor.core;

/**
 * One attempt of one part at one worker. It ends exactly once, by {@link Gatherer#report}. Times are microseconds on
 * the
 * gatherer's clock.
 */
public final class Attempt {
    /** Workers are told of their time in whole milliseconds: with less left than one there is none to tell. */
    private static final long MICROS_PER_MILLI = 1_000;

    final Query query;
    final Query.QueryPart part;
    final int number;
    final Worker worker;
    final long assignedAt;
    final long deadline;
    /** It begins before this or never: an idempotency key protects a retry for some time only. */
    private final long startBefore;
    /** When the connect began that it waits or waited for, if that was before it was assigned. */
    private volatile long connectStartedAt;
    /** Set once under the gatherer's lock; read without it by whoever writes. */
    volatile boolean cancelled;
    /** Whether its end has been reported. Guarded by the gatherer's lock. */
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

    /** The query that this attempt is for. */
    public Query query() {
        return query;
    }

    /** The id of the part, the same for all its attempts. */
    public String partId() {
        return part.id;
    }

    /** The shard that is requested. */
    public int shard() {
        return part.shard;
    }

    /** The worker that it goes to. */
    public Worker worker() {
        return worker;
    }

    /**
     * Whether it may begin now on a connection to this address. Takes no lock: it is called for each attempt at the
     * moment of writing.
     *
     * @param now     on the gatherer's clock
     * @param address where the connection goes
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

    /** The milliseconds that its worker is told to have, at this moment: never more than are left to its deadline. */
    public long remainingMillis(long now) {
        return (deadline - now) / MICROS_PER_MILLI;
    }

    /** It waits for a connect that began at this time: if that fails, it took that long for late joiners as well. */
    public void recordConnectStart(long startedAt) {
        connectStartedAt = Math.min(assignedAt, startedAt);
    }

    /** Since when its duration counts: that of a failed connect from the connect's begin. */
    long startedAt(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED ? connectStartedAt : assignedAt;
    }

    /** When it times out. */
    public long deadline() {
        return deadline;
    }
}
