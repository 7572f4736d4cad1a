package wallmoor.core;

/** One attempt of one part at one worker. It ends exactly once, by {@link Gatherer#report}. */
public final class Attempt {
    /** Workers are told of their time in whole milliseconds: with less left than one there is none to tell. */
    private static final long LEAST_TIME = 1_000;

    final Query query;
    final Query.QueryPart part;
    final int number;
    final Worker worker;
    final long assignedAt;
    final long deadline;
    /** It begins before this or never: a repeat is harmless for some time only. */
    private final long beginBefore;
    /** When the dial began that it waits for or waited for, if that was before it was sent. */
    private volatile long dialledAt;
    /** Set under the gatherer's lock, once; read without it by who writes. */
    volatile boolean cancelled;
    boolean ended;

    Attempt(Query query, Query.QueryPart part, int number, Worker worker, long sentAt, long until, long beginBefore) {
        this.query = query;
        this.part = part;
        this.number = number;
        this.worker = worker;
        this.assignedAt = sentAt;
        this.dialledAt = sentAt;
        this.deadline = until;
        this.beginBefore = beginBefore;
    }

    /** The query that this attempt is for. */
    public Query query() {
        return query;
    }

    /** The id of the part, the same for all its attempts. */
    public String partId() {
        return part.id;
    }

    /** The shard that is asked for. */
    public int shard() {
        return part.shard;
    }

    /** Where it goes. */
    public Worker worker() {
        return worker;
    }

    /**
     * Whether it may begin now on a connection to this address. Takes no lock: it is asked for each attempt at the
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
        if (now + LEAST_TIME > deadline) {
            return SendPermission.DEADLINE_EXCEEDED;
        }
        return now < beginBefore ? SendPermission.GRANTED : SendPermission.IDEMPOTENCY_WINDOW_EXPIRED;
    }

    /** The milliseconds that its worker is told to have, at this moment: never more than the client has left. */
    public long remainingMillis(long now) {
        return (deadline - now) / LEAST_TIME;
    }

    /**
     * It waits for a connection whose dial began at this time, on the gatherer's clock: should that fail, it took that
     * long for whoever joined late as well.
     */
    public void waitsForConnect(long begunAt) {
        dialledAt = Math.min(assignedAt, begunAt);
    }

    /** Since when its end counts: a dial that failed counts from its begin. */
    long startedAt(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED ? dialledAt : assignedAt;
    }

    /** When it is given up, on the gatherer's clock. */
    public long deadline() {
        return deadline;
    }
}
