package wallmoor.core;

/** One attempt of one part at one worker. It ends exactly once, by {@link Gatherer#report}. */
public final class Attempt {
    /** Workers are told of their time in whole milliseconds: with less left than one there is none to tell. */
    private static final long LEAST_TIME = 1_000;

    final Query query;
    final Query.Part part;
    final int number;
    final Worker worker;
    final long sentAt;
    final long until;
    /** It begins before this or never: a repeat is harmless for some time only. */
    private final long beginBefore;
    /** When the dial began that it waits for or waited for, if that was before it was sent. */
    private volatile long dialledAt;
    /** Set under the gatherer's lock, once; read without it by who writes. */
    volatile boolean calledOff;
    boolean ended;

    Attempt(Query query, Query.Part part, int number, Worker worker, long sentAt, long until, long beginBefore) {
        this.query = query;
        this.part = part;
        this.number = number;
        this.worker = worker;
        this.sentAt = sentAt;
        this.dialledAt = sentAt;
        this.until = until;
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
    public Permit permit(long now, String address) {
        if (query.clientGone) {
            return Permit.CLIENT_GONE;
        }
        if (query.end != null) {
            return Permit.QUERY_OVER;
        }
        if (calledOff) {
            return Permit.CALLED_OFF;
        }
        if (!worker.serving()) {
            return Permit.NOT_SERVING;
        }
        if (!worker.address().equals(address)) {
            return Permit.MOVED;
        }
        if (now + LEAST_TIME > until) {
            return Permit.TIME_OVER;
        }
        return now < beginBefore ? Permit.GRANTED : Permit.WINDOW_OVER;
    }

    /** The milliseconds that its worker is told to have, at this moment: never more than the client has left. */
    public long millisLeft(long now) {
        return (until - now) / LEAST_TIME;
    }

    /**
     * It waits for a connection whose dial began at this time, on the gatherer's clock: should that fail, it took that
     * long for whoever joined late as well.
     */
    public void joinsDial(long begunAt) {
        dialledAt = Math.min(sentAt, begunAt);
    }

    /** Since when its end counts: a dial that failed counts from its begin. */
    long since(Outcome outcome) {
        return outcome == Outcome.NO_CONNECTION ? dialledAt : sentAt;
    }

    /** When it is given up, on the gatherer's clock. */
    public long until() {
        return until;
    }
}
