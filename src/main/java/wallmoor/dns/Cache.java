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
final class Cache {
    /** How long a stale answer counts before servers are asked again (RFC 8767 section 4 recommends 30 s). */
    private static final long STALE_LIFETIME = 30_000;

    private record Key(Name name, int type) {}

    private record Kept(Found found, long since, long until) {}

    private final Lifetimes lifetimes;
    private final Map<Key, Kept> kept;

    /** A cache of {@code most} answers; of more the one not used for longest goes. */
    Cache(Lifetimes lifetimes, int most) {
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
    synchronized Found fresh(long now, Name name, int type) {
        Kept k = kept.get(new Key(name, type));
        if (k == null || now >= k.until) {
            return null;
        }
        return k.found instanceof Found.Records r ? new Found.Records(r.records(), k.until - now, false)
                : k.found instanceof Found.None n ? new Found.None(n.why(), k.until - now) : null;
    }

    /** What was said last, if that may stand in for an answer that can't be had, or null. */
    synchronized Found stale(long now, Name name, int type) {
        Kept k = kept.get(new Key(name, type));
        if (k == null || now - k.since >= lifetimes.staleFor() || !(k.found instanceof Found.Records r)) {
            return null; // an absence is not kept up: it would hide what has come since
        }
        return new Found.Records(r.records(), Math.min(STALE_LIFETIME, lifetimes.most()), true);
    }

    synchronized Found put(long now, Name name, int type, List<Record> records, long ttl) {
        long lifetime = lifetimes.of(ttl);
        var found = new Found.Records(List.copyOf(records), lifetime, false);
        kept.put(new Key(name, type), new Kept(found, now, now + lifetime));
        return found;
    }

    synchronized Found putNone(long now, Name name, int type, Reply.Absent absent) {
        long lifetime = absent.soaTtl() < 0 ? lifetimes.negative()
                : lifetimes.negative(absent.soaTtl(), absent.soaMinimum());
        var found = new Found.None(absent.why(), lifetime);
        kept.put(new Key(name, type), new Kept(found, now, now + lifetime));
        return found;
    }
}
