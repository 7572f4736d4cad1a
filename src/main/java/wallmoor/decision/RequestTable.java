package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open queries of this gatherer, and the parts with attempts that have not ended. */
final class RequestTable {
    private final Map<String, TrackedQuery> queries = new LinkedHashMap<>();
    private final Map<Long, TrackedQuery> byNumber = new LinkedHashMap<>();
    private final Map<String, TrackedPart> parts = new LinkedHashMap<>();

    /** Adds a query. */
    void add(TrackedQuery query) {
        queries.put(query.arrival.id(), query);
        byNumber.put(query.arrival.number(), query);
    }

    /** Adds a part to this table and to its query. */
    void add(TrackedPart part) {
        part.query.parts.add(part);
        parts.put(part.id, part);
    }

    /** Removes a query; its parts stay until they have no attempt in flight. */
    void remove(TrackedQuery query) {
        queries.remove(query.arrival.id());
        byNumber.remove(query.arrival.number());
    }

    /** Removes a part unless an attempt of it is in flight. */
    void removeIfUnused(TrackedPart part) {
        if (part.inFlight.isEmpty()) {
            parts.remove(part.id);
        }
    }

    /** Returns a copy of the open queries, in the order of their arrival. */
    List<TrackedQuery> queries() {
        return List.copyOf(queries.values());
    }

    boolean isEmpty() {
        return queries.isEmpty();
    }

    /** Returns whether the number of open queries and their parts exceeds the limit in the settings. */
    boolean isFull(RoutingSettings settings) {
        int count = queries.size();
        for (TrackedQuery query : queries.values()) {
            count += query.parts.size();
        }
        return count > settings.limits().maxInFlight();
    }

    /** Returns whether this query is still open. */
    boolean contains(TrackedQuery query) {
        return queries.get(query.arrival.id()) == query;
    }

    /** Returns the open query with this id, or null. */
    TrackedQuery query(String id) {
        return queries.get(id);
    }

    /** Returns the open query with this number, or null. */
    TrackedQuery query(long number) {
        return byNumber.get(number);
    }

    /** Returns the part with this id, or null. */
    TrackedPart part(String id) {
        return parts.get(id);
    }
}
