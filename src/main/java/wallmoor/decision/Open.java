package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.decision.State.Part;
import wallmoor.decision.State.Query;

/** The queries that a root still owes an answer, and the parts of which it may still hear. */
final class Open {
    private final Map<String, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> byNumber = new LinkedHashMap<>();
    private final Map<String, Part> parts = new LinkedHashMap<>();

    void add(Query q) {
        queries.put(q.arrived.id(), q);
        byNumber.put(q.arrived.number(), q);
    }

    void add(Part p) {
        p.query.parts.add(p);
        parts.put(p.id, p);
    }

    void remove(Query q) {
        queries.remove(q.arrived.id());
        byNumber.remove(q.arrived.number());
    }

    /** Drops a part unless an attempt of it is out. */
    void forget(Part p) {
        if (p.out.isEmpty()) {
            parts.remove(p.id);
        }
    }

    /** The open queries of this moment, in the order of their arrival. */
    List<Query> queries() {
        return List.copyOf(queries.values());
    }

    boolean isEmpty() {
        return queries.isEmpty();
    }

    /** Whether more queries and parts are held than the settings allow. */
    boolean full(RouterApi.Settings settings) {
        int held = queries.size();
        for (Query q : queries.values()) {
            held += q.parts.size();
        }
        return held > settings.limits().maxOpen();
    }

    /** Whether this query is still open. */
    boolean has(Query q) {
        return queries.get(q.arrived.id()) == q;
    }

    /** The open query of this id, or null. */
    Query query(String id) {
        return queries.get(id);
    }

    /** The open query of this number, or null. */
    Query query(long number) {
        return byNumber.get(number);
    }

    /** The part of this id, or null. */
    Part part(String id) {
        return parts.get(id);
    }
}
