package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The queries that this gatherer still owes an answer, and the parts of which an attempt may still end. */
final class RequestTable {
    private final Map<String, TrackedQuery> queries = new LinkedHashMap<>();
    private final Map<Long, TrackedQuery> byNumber = new LinkedHashMap<>();
    private final Map<String, TrackedPart> parts = new LinkedHashMap<>();

    /** Takes in a query. */
    void add(TrackedQuery query) {
        queries.put(query.arrival.id(), query);
        byNumber.put(query.arrival.number(), query);
    }

    /** Takes in a part, and gives it to its query. */
    void add(TrackedPart part) {
        part.query.parts.add(part);
        parts.put(part.id, part);
    }

    /** Drops a query; its parts stay until they are unused. */
    void remove(TrackedQuery query) {
        queries.remove(query.arrival.id());
        byNumber.remove(query.arrival.number());
    }

    /** Drops a part unless an attempt of it is in flight. */
    void removeIfUnused(TrackedPart part) {
        if (part.inFlight.isEmpty()) {
            parts.remove(part.id);
        }
    }

    /** The open queries of this moment, in the order of their arrival. */
    List<TrackedQuery> queries() {
        return List.copyOf(queries.values());
    }

    boolean isEmpty() {
        return queries.isEmpty();
    }

    /** Whether more queries and parts are held than the settings allow. */
    boolean isFull(RoutingSettings settings) {
        int held = queries.size();
        for (TrackedQuery query : queries.values()) {
            held += query.parts.size();
        }
        return held > settings.limits().maxInFlight();
    }

    /** Whether this query is still open. */
    boolean contains(TrackedQuery query) {
        return queries.get(query.arrival.id()) == query;
    }

    /** The open query of this id, or null. */
    TrackedQuery query(String id) {
        return queries.get(id);
    }

    /** The open query of this number, or null. */
    TrackedQuery query(long number) {
        return byNumber.get(number);
    }

    /** The part of this id, or null. */
    TrackedPart part(String id) {
        return parts.get(id);
    }
}
