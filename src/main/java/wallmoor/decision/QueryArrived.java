package wallmoor.decision;

/**
 * The arrival of a query; its parts follow at the same time.
 *
 * @param id                 the query's id, unique among the open queries
 * @param number             the query's number, by which its parts refer to it
 * @param queryClass         the index of its class in the settings
 * @param tenant             the index of its tenant in the settings
 * @param key                its partition key, or null
 * @param deadline           when the client gives up (microseconds of the caller's clock)
 * @param workHint           the expected amount of work, or {@link Absent#VALUE}
 * @param partCount          the number of parts of its first phase
 * @param retry              whether the client marks the query as a retry
 * @param withIdempotencyKey whether its parts carry a key by which workers recognise a repeat
 * @param needsEveryPart     whether every part has to be answered, whatever share is enough for its class, unless
 *                           {@link RoutingPolicy#onQueryDecided} tells that the answered parts are enough
 */
public record QueryArrived(String id, long number, int queryClass, int tenant, String key, long deadline,
        long workHint, int partCount, boolean retry, boolean withIdempotencyKey,
        boolean needsEveryPart) {}
