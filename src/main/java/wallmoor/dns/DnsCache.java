package wallmoor.dns;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;

/**
 * What servers have said, for as long as it may be used, and longer where none says anything (serve-stale, RFC 8767).
 * Decides by the time that it is given, in milliseconds. Safe for threads.
 */
final class DnsCache {
    /** How long a stale answer counts before servers are asked again (RFC 8767 section 4 recommends 30 s). */
    private static final long STALE_TTL_MILLIS = 30_000;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private record Key(Name name, int type) {}

    private record CachedLookup(RecordLookup lookup, long since, long until) {}

    private final TtlPolicy ttls;
    private final Map<Key, CachedLookup> cached;

    /** A cache of {@code capacity} answers; of more the least recently used goes. */
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

    /** What is still good at this time, with the TTL that is left, or null. */
    synchronized RecordLookup fresh(long now, Name name, int type) {
        CachedLookup entry = cached.get(new Key(name, type));
        if (entry == null || now >= entry.until) {
            return null;
        }
        long left = entry.until - now;
        if (entry.lookup instanceof RecordLookup.Records found) {
            return new RecordLookup.Records(found.records(), left, false);
        }
        return entry.lookup instanceof RecordLookup.NoRecords none
                ? new RecordLookup.NoRecords(none.reason(), left)
                : null;
    }

    /** What was said last, if that may stand in for an answer that can't be had, or null. */
    synchronized RecordLookup stale(long now, Name name, int type) {
        CachedLookup entry = cached.get(new Key(name, type));
        if (entry == null || now - entry.since >= ttls.maxStaleMillis()
                || !(entry.lookup instanceof RecordLookup.Records found)) {
            return null; // a negative answer never stands in: it would hide what has come since
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
