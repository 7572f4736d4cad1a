package wallmoor.core;

/** One attempt of one part at one worker. It ends exactly once, by {@link Gatherer#report}. */
public final class Attempt {
    final Query query;
    final Query.Part part;
    final int number;
    final Worker worker;
    final long sentAt;
    final long until;
    boolean calledOff;
    boolean ended;

    Attempt(Query query, Query.Part part, int number, Worker worker, long sentAt, long until) {
        this.query = query;
        this.part = part;
        this.number = number;
        this.worker = worker;
        this.sentAt = sentAt;
        this.until = until;
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

    /** When it is given up, on the gatherer's clock. */
    public long until() {
        return until;
    }
}
