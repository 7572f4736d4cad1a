package wallmoor.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;
import wallmoor.decision.QueryClass;
import wallmoor.metrics.GathererMetrics;

/**
 * The tables of queries without a final step and of parts that may still have an attempt in flight. Counts the start
 * and the end of each query in the metrics. Guarded by the gatherer's lock.
 *
 * <p>A query leaves the table of open queries with its final step. Its parts stay in the table of parts until its last
 * attempt has been reported, so that the same id cannot be opened again while a worker may still run one of them.
 */
final class OpenRequests {
    private final GathererMetrics metrics;
    private final Map<String, Query> openQueries = new HashMap<>();
    private final Map<String, Query> queriesByPartId = new HashMap<>();
    private final EndedQueryIds endedIds = new EndedQueryIds();
    private final LongSupplier clock;
    /** The names of the query classes, by index. */
    private List<String> classNames;
    /** The query classes, by index. */
    private volatile List<QueryClass> classes;
    private long lastNumber;
    /** The time by which each query has its final step, microseconds on the gatherer's clock. */
    private long latestDeadline = Long.MAX_VALUE;

    /**
     * Creates the tables, with no query.
     *
     * @param clock the gatherer's clock (microseconds)
     */
    OpenRequests(GathererMetrics metrics, List<String> classNames, List<QueryClass> classes, LongSupplier clock) {
        this.metrics = metrics;
        this.classNames = classNames;
        this.classes = classes;
        this.clock = clock;
    }

    /** Sets the query classes and their names; an open query keeps what its class was when it was opened. */
    void setClasses(List<String> names, List<QueryClass> nextClasses) {
        classNames = names;
        classes = nextClasses;
    }

    /** Returns the ids of the queries, open or recently ended, of which a part must not run twice. */
    List<String> singleRunIds() {
        var ids = new ArrayList<String>(endedIds.ids());
        openQueries.values().stream().filter(query -> !query.mayRunTwice).forEach(query -> ids.add(query.id));
        return ids;
    }

    /**
     * Returns whether a part of this query may run twice, or its workers recognise that it did. Needs no lock.
     */
    boolean mayRunTwice(QueryRequest request) {
        int index = Math.min(Math.max(request.queryClass(), 0), classes.size() - 1);
        return classes.get(index).mayRunTwice(request.idempotencyKey() != null);
    }

    private String className(int queryClass) {
        return queryClass >= 0 && queryClass < classNames.size() ? classNames.get(queryClass) : "class-" + queryClass;
    }

    /** Creates a query, which is not in the tables yet, with a condition for its thread to wait on. */
    Query create(QueryRequest request, Condition stepAvailable) {
        return new Query(request, className(request.queryClass()), mayRunTwice(request), latestDeadline, stepAvailable);
    }

    /** Limits the deadlines of the open queries and of all that are opened later; a limit is never raised. */
    void limitDeadlines(long latest) {
        latestDeadline = Math.min(latestDeadline, latest);
        openQueries.values().forEach(query -> query.limitDeadline(latestDeadline));
    }

    /** Returns the id of the part of a query for this shard, which is the same for all attempts of the part. */
    static String partId(String queryId, int shard) {
        return queryId + "." + shard;
    }

    /**
     * Returns whether a query with this id is open, one of these parts of an earlier one may be in flight, or a part of
     * an earlier one may have run that must not run again.
     */
    boolean isInUse(String queryId, List<Query.PartRequest> parts) {
        if (openQueries.containsKey(queryId) || endedIds.contains(queryId, clock.getAsLong())) {
            return true;
        }
        for (Query.PartRequest part : parts) {
            if (queriesByPartId.containsKey(partId(queryId, part.shard()))) {
                return true;
            }
        }
        return false;
    }

    /** Adds a query with its parts; returns the number that identifies it to the routing policy. */
    long add(Query query) {
        openQueries.put(query.id, query);
        metrics.queryStarted(query.className);
        for (Query.QueryPart part : query.parts) {
            queriesByPartId.put(part.id, query);
        }
        return ++lastNumber;
    }

    /** Returns the open query with this id, or null. */
    Query openQuery(String id) {
        return openQueries.get(id);
    }

    /** Returns the query, open or not, that this part belongs to; null if none of its attempts can be in flight. */
    Query queryOfPart(String partId) {
        return queriesByPartId.get(partId);
    }

    /**
     * Sets the final step of a query, unless it has one. Earlier steps, such as cancellations, are still handed out
     * before it.
     */
    void finish(Query query, Step.FinalStep finalStep) {
        if (query.finalStep != null) {
            return;
        }
        query.finalStep = finalStep;
        metrics.queryEnded(query.className, toQueryEnd(finalStep));
        openQueries.remove(query.id);
        removePartsUnlessInFlight(query);
        query.stepAvailable.signalAll();
    }

    /**
     * Removes the parts of a query that has ended, unless an attempt is still in flight. Keeps the query's id if a part
     * may have run that must not run again.
     */
    void removePartsUnlessInFlight(Query query) {
        if (query.inFlight.isEmpty()) {
            if (query.attemptMayHaveRun && !query.mayRunTwice) {
                endedIds.add(query.id, clock.getAsLong());
            }
            for (Query.QueryPart part : query.parts) {
                queriesByPartId.remove(part.id);
            }
        }
    }

    private static GathererMetrics.QueryEnd toQueryEnd(Step.FinalStep finalStep) {
        if (finalStep instanceof Step.Answer) {
            return GathererMetrics.QueryEnd.SERVED;
        }
        if (finalStep instanceof Step.Reject) {
            return GathererMetrics.QueryEnd.REFUSED;
        }
        return finalStep instanceof Step.Fail ? GathererMetrics.QueryEnd.FAILED : GathererMetrics.QueryEnd.CLIENT_GONE;
    }

    /** Returns the number of queries without a final step. */
    int openQueries() {
        return openQueries.size();
    }

    /** Returns the number of queries without a final step plus their parts, which {@code Limits.MaxOpen} bounds. */
    int openQueriesAndParts() {
        int count = openQueries.size();
        for (Query query : openQueries.values()) {
            count += query.parts.size();
        }
        return count;
    }

    /** Returns the number of entries in all tables: 0 once all queries and attempts have ended. */
    int retainedEntries() {
        return openQueries.size() + queriesByPartId.size();
    }
}
