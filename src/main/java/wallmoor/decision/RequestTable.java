package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.decision.State.TrackedPart;
import wallmoor.decision.State.TrackedQuery;

/** The queries that a root still owes an answer, and the parts of which it may still hear. */
final class RequestTable {
    private final Map<String, TrackedQuery> queries = new LinkedHashMap<>();
    private final Map<Long, TrackedQuery> byNumber = new LinkedHashMap<>();
    private final Map<String, TrackedPart> parts = new LinkedHashMap<>();

    void add(TrackedQuery q) {
        queries.put(q.arrival.id(), q);
        byNumber.put(q.arrival.number(), q);
    }

    void add(TrackedPart p) {
        p.query.parts.add(p);
        parts.put(p.id, p);
    }

    void remove(TrackedQuery q) {
        queries.remove(q.arrival.id());
        byNumber.remove(q.arrival.number());
    }

    /** Drops a part unless an attempt of it is out. */
    void removeIfUnused(TrackedPart p) {
        if (p.inFlight.isEmpty()) {
            parts.remove(p.id);
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
        for (TrackedQuery q : queries.values()) {
            held += q.parts.size();
        }
        return held > settings.limits().maxInFlight();
    }

    /** Whether this query is still open. */
    boolean contains(TrackedQuery q) {
        return queries.get(q.arrival.id()) == q;
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
