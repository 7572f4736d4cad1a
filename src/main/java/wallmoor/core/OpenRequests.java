package wallmoor.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.metrics.GathererMetrics;

/**
 * The queries that still need a final answer, and the parts of which an attempt may still be in flight. It also counts
 * the start and the end of each query. Guarded by the gatherer's lock.
 *
 * <p>A query leaves the table of open queries with its final step; its parts stay known until its last attempt has been
 * reported, so that the same id cannot be opened again while a worker may still run one of them.
 */
final class OpenRequests {
    private final GathererMetrics metrics;
    private final Map<String, Query> openQueries = new HashMap<>();
    private final Map<String, Query> queriesByPartId = new HashMap<>();
    /** The names of the query classes, by index. */
    private List<String> classNames;
    private long lastNumber;

    OpenRequests(GathererMetrics metrics, List<String> classNames) {
        this.metrics = metrics;
        this.classNames = classNames;
    }

    /** Query classes have these names from now on; a query keeps the name that its class had when it was opened. */
    void setClassNames(List<String> names) {
        classNames = names;
    }

    /** The name under which queries of a class are counted. */
    String className(int queryClass) {
        return queryClass >= 0 && queryClass < classNames.size() ? classNames.get(queryClass) : "class-" + queryClass;
    }

    /** The id of the part of a query that asks for this shard, the same for all its attempts. */
    static String partId(String queryId, int shard) {
        return queryId + "." + shard;
    }

    /** Whether a query of this id is open, or one of these parts may still be in flight for an earlier one. */
    boolean isInUse(String queryId, List<Query.PartRequest> parts) {
        if (openQueries.containsKey(queryId)) {
            return true;
        }
        for (Query.PartRequest part : parts) {
            if (queriesByPartId.containsKey(partId(queryId, part.shard()))) {
                return true;
            }
        }
        return false;
    }

    /** Adds a query with its parts; returns the number under which the routing policy knows it. */
    long add(Query query) {
        openQueries.put(query.id, query);
        metrics.queryStarted(query.className);
        for (Query.QueryPart part : query.parts) {
            queriesByPartId.put(part.id, query);
        }
        return ++lastNumber;
    }

    /** The open query of this id, or null. */
    Query openQuery(String id) {
        return openQueries.get(id);
    }

    /** The query, open or not, that this part belongs to, or null if none of its attempts can be in flight. */
    Query queryOfPart(String partId) {
        return queriesByPartId.get(partId);
    }

    /**
     * Gives a query its final step, unless it has one. The steps before it, cancellations among them, are still handed
     * out first.
     */
    void finish(Query query, Step.FinalStep finalStep) {
        if (query.finalStep != null) {
            return;
        }
        query.finalStep = finalStep;
        metrics.queryEnded(query.className, endOf(finalStep));
        openQueries.remove(query.id);
        forgetUnlessInFlight(query);
        query.stepAvailable.signalAll();
    }

    /** Forgets the parts of a query that has ended, unless an attempt is still in flight. */
    void forgetUnlessInFlight(Query query) {
        if (query.inFlight.isEmpty()) {
            for (Query.QueryPart part : query.parts) {
                queriesByPartId.remove(part.id);
            }
        }
    }

    private static GathererMetrics.QueryEnd endOf(Step.FinalStep finalStep) {
        if (finalStep instanceof Step.Answer) {
            return GathererMetrics.QueryEnd.SERVED;
        }
        if (finalStep instanceof Step.Reject) {
            return GathererMetrics.QueryEnd.REFUSED;
        }
        return finalStep instanceof Step.Fail ? GathererMetrics.QueryEnd.FAILED : GathererMetrics.QueryEnd.CLIENT_GONE;
    }

    /** The number of queries without a final step. */
    int openQueries() {
        return openQueries.size();
    }

    /** The number of queries without a final step, and of their parts: what {@code Limits.MaxOpen} bounds. */
    int openQueriesAndParts() {
        int sum = openQueries.size();
        for (Query query : openQueries.values()) {
            sum += query.parts.size();
        }
        return sum;
    }

    /** The number of entries in all tables: 0 once all queries and attempts have ended. */
    int retainedEntries() {
        return openQueries.size() + queriesByPartId.size();
    }
}
