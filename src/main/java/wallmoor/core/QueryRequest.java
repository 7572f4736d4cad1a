package wallmoor.core;

import java.util.List;
import java.util.function.Predicate;

/**
 * A client's request to open a query.
 *
 * @param id             the id of the query, unique among the open queries
 * @param queryClass     the index of the query's class in the settings
 * @param deadline       the time at which the client gives up, on the gatherer's clock (microseconds)
 * @param retry          whether the client marked the query as a retry
 * @param idempotencyKey the key by which workers recognise a repeat of the query's parts, also in a client's retry;
 *                       null for none
 * @param parts          the requested parts
 * @param attachment     data of the front for its transport, see {@link Query#attachment}
 * @param decidingValue  for a query that needs the values of all its parts, whatever share is enough for its class:
 *                       whether a part's value alone is enough. It is called with the gatherer's lock held. Null for a
 *                       query whose class tells which share of the parts is enough
 */
public record QueryRequest(String id, int queryClass, long deadline, boolean retry, String idempotencyKey,
        List<Query.PartRequest> parts, Object attachment, Predicate<byte[]> decidingValue) {

    /** Creates a request for a query whose class tells which share of the parts is enough. */
    public QueryRequest(String id, int queryClass, long deadline, boolean retry, String idempotencyKey,
            List<Query.PartRequest> parts, Object attachment) {
        this(id, queryClass, deadline, retry, idempotencyKey, parts, attachment, null);
    }
}
