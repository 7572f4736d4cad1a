package wallmoor.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of ended queries of which a part may have run and must not run again. A client that leaves and sends its
 * request again under the same id would otherwise start the part a second time. Ids are new for each request by the
 * protocol, so refusing one that comes again costs no sound client anything. Guarded by the gatherer's lock.
 */
final class EndedQueryIds {
    /** How long an id is kept: longer than clients wait for an answer and send a request again (microseconds). */
    static final long RETENTION_MICROS = 60_000_000;
    /** The maximum number of ids, of up to 64 characters each; the oldest ones are dropped first. */
    static final int MAX_IDS = 4_096;

    /** The time at which each id is dropped, in the order in which they were added. */
    private final Map<String, Long> expiryById = new LinkedHashMap<>();

    /** Adds an id at a time on the gatherer's clock (microseconds). */
    void add(String id, long now) {
        expiryById.remove(id);
        expiryById.put(id, now + RETENTION_MICROS);
        removeExpired(now);
    }

    /** Returns whether this id was added within the retention and is among the latest ones. */
    boolean contains(String id, long now) {
        Long expiry = expiryById.get(id);
        return expiry != null && now < expiry;
    }

    /** Returns all ids, including some that have just expired. */
    Set<String> ids() {
        return expiryById.keySet();
    }

    private void removeExpired(long now) {
        Iterator<Long> expiries = expiryById.values().iterator();
        while (expiries.hasNext() && (expiries.next() <= now || expiryById.size() > MAX_IDS)) {
            expiries.remove();
        }
    }
}
