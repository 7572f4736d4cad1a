package wallmoor.core;

/** Claims the ids of queries of which a part must not run twice, among the processes of one gatherer. */
@FunctionalInterface
public interface QueryIdClaims {
    /** Claims for a gatherer with one process, which knows its ids by itself. */
    QueryIdClaims NONE = id -> true;

    /**
     * Claims an id for this process; called before the query is opened, without the gatherer's lock.
     *
     * @return false if another process has claimed it
     */
    boolean claim(String id);
}
