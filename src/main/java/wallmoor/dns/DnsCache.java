package wallmoor.dns;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;

/**
 * A cache of positive and negative answers for their TTL, and of positive ones longer for use while no server answers
 * (serve-stale, RFC 8767). Has no clock: callers pass the time in milliseconds. Safe for concurrent use.
 */
final class DnsCache {
    /** The TTL of a stale answer, after which servers are queried again (RFC 8767 section 4 recommends 30 s). */
    private static final long STALE_TTL_MILLIS = 30_000;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private record Key(Name name, int type) {}

    private record CachedLookup(RecordLookup lookup, long storedAt, long expiresAt) {}

    private final TtlPolicy ttls;
    private final Map<Key, CachedLookup> cached;

    /** Creates a cache that holds {@code capacity} answers and evicts the least recently used one. */
    DnsCache(TtlPolicy ttls, int capacity) {
        this.ttls = ttls;
        cached = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, CachedLookup> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Returns an answer whose TTL has not ended, with the TTL that remains, or null. */
    synchronized RecordLookup fresh(long now, Name name, int type) {
        CachedLookup entry = cached.get(new Key(name, type));
        if (entry == null || now >= entry.expiresAt) {
            return null;
        }
        long remaining = entry.expiresAt - now;
        if (entry.lookup instanceof RecordLookup.Records found) {
            return new RecordLookup.Records(found.records(), remaining, false);
        }
        return entry.lookup instanceof RecordLookup.NoRecords none
                ? new RecordLookup.NoRecords(none.reason(), remaining)
                : null;
    }

    /** Returns the last positive answer for use while no server answers, or null if there is none or it is too old. */
    synchronized RecordLookup stale(long now, Name name, int type) {
        CachedLookup entry = cached.get(new Key(name, type));
        if (entry == null || now - entry.storedAt >= ttls.maxStaleMillis()
                || !(entry.lookup instanceof RecordLookup.Records found)) {
            return null; // a stale negative answer is never used: it would hide records added since
        }
        return new RecordLookup.Records(found.records(), Math.min(STALE_TTL_MILLIS, ttls.maxTtlMillis()), true);
    }

    synchronized RecordLookup put(long now, Name name, int type, List<Record> records, long ttlSeconds) {
        long ttl = ttls.clampTtlMillis(ttlSeconds);
        var found = new RecordLookup.Records(List.copyOf(records), ttl, false);
        cached.put(new Key(name, type), new CachedLookup(found, now, now + ttl));
        return found;
    }

    synchronized RecordLookup putNegative(long now, Name name, int type, DnsResponse.NegativeAnswer answer) {
        long ttl = answer.hasSoa()
                ? ttls.negativeTtlMillis(answer.soaTtl(), answer.soaMinimum())
                : ttls.negativeTtlMillis();
        var none = new RecordLookup.NoRecords(answer.reason(), ttl);
        cached.put(new Key(name, type), new CachedLookup(none, now, now + ttl));
        return none;
    }
}
