package wallmoor.dns;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;

/**
 * What servers have said, for as long as it may be used, and longer where none says anything. Decides by the time that
 * it is given. Safe for threads.
 */
final class DnsCache {
    /** How long a stale answer counts before servers are asked again (RFC 8767 section 4 recommends 30 s). */
    private static final long STALE_LIFETIME = 30_000;

    private record Key(Name name, int type) {}

    private record Kept(RecordLookup found, long since, long until) {}

    private final TtlPolicy lifetimes;
    private final Map<Key, Kept> kept;

    /** A cache of {@code most} answers; of more the one not used for longest goes. */
    DnsCache(TtlPolicy lifetimes, int most) {
        this.lifetimes = lifetimes;
        kept = new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, Kept> eldest) {
                return size() > most;
            }
        };
    }

    /** What is still good at this time, with the lifetime that is left, or null. */
    synchronized RecordLookup fresh(long now, Name name, int type) {
        Kept k = kept.get(new Key(name, type));
        if (k == null || now >= k.until) {
            return null;
        }
        return k.found instanceof RecordLookup.Records r ? new RecordLookup.Records(r.records(), k.until - now, false)
                : k.found instanceof RecordLookup.NoRecords n ? new RecordLookup.NoRecords(n.reason(), k.until - now)
                        : null;
    }

    /** What was said last, if that may stand in for an answer that can't be had, or null. */
    synchronized RecordLookup stale(long now, Name name, int type) {
        Kept k = kept.get(new Key(name, type));
        if (k == null || now - k.since >= lifetimes.maxStaleMillis() || !(k.found instanceof RecordLookup.Records r)) {
            return null; // an absence is not kept up: it would hide what has come since
        }
        return new RecordLookup.Records(r.records(), Math.min(STALE_LIFETIME, lifetimes.maxTtlMillis()), true);
    }

    synchronized RecordLookup put(long now, Name name, int type, List<Record> records, long ttl) {
        long lifetime = lifetimes.clampTtlMillis(ttl);
        var found = new RecordLookup.Records(List.copyOf(records), lifetime, false);
        kept.put(new Key(name, type), new Kept(found, now, now + lifetime));
        return found;
    }

    synchronized RecordLookup putNegative(long now, Name name, int type, DnsResponse.NegativeAnswer absent) {
        long lifetime = absent.soaTtl() < 0 ? lifetimes.negativeTtlMillis()
                : lifetimes.negativeTtlMillis(absent.soaTtl(), absent.soaMinimum());
        var found = new RecordLookup.NoRecords(absent.why(), lifetime);
        kept.put(new Key(name, type), new Kept(found, now, now + lifetime));
        return found;
    }
}
