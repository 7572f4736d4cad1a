package wallmoor.dns;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** Looks up the addresses and the TXT record of one SRV record's target. Safe for concurrent use. */
final class TargetResolver {
    /** How many pairs of the TXT records are read at most. */
    private static final int MAX_TEXT_PAIRS = 32;

    private final StubResolver resolver;

    TargetResolver(StubResolver resolver) {
        this.resolver = resolver;
    }

    /**
     * Returns the target of an SRV record.
     *
     * @param ttlMillis   the TTL of the SRV record
     * @param deadline    when to give up, on the resolver's clock
     * @param bypassCache whether to query the servers even if the cache has a fresh answer
     * @throws UnusableTargetException if the target has no port or no address, a look-up fails, or its records
     *                                 contradict each other
     */
    ServiceTarget resolve(SRVRecord srv, long ttlMillis, long deadline, boolean bypassCache)
            throws UnusableTargetException {
        if (srv.getTarget().equals(Name.root) || srv.getPort() == 0) {
            throw new UnusableTargetException("its SRV record has the root as target, or port 0");
        }
        RecordLookup.Records found = findAddresses(srv.getTarget(), deadline, bypassCache);
        long ttl = Math.min(ttlMillis, found.ttlMillis());
        Map<String, String> text = Map.of();
        RecordLookup txt = resolver.find(srv.getTarget(), Type.TXT, deadline, bypassCache);
        // the TXT record may have the target's id, without which its identity would change
        if (txt instanceof RecordLookup.LookupFailure failure) {
            throw new UnusableTargetException("look-up of its TXT record failed: " + failure.reason());
        }
        if (txt instanceof RecordLookup.Records records) {
            text = pairs(records.records());
            ttl = Math.min(ttl, records.ttlMillis());
        } else {
            ttl = Math.min(ttl, ((RecordLookup.NoRecords) txt).ttlMillis());
        }
        List<String> addresses = addresses(found.records());
        checkClaimedAddress(text.get("at"), addresses, srv.getPort());
        return new ServiceTarget(plainName(srv.getTarget()), addresses, srv.getPort(), srv.getPriority(),
                srv.getWeight(), text, ttl);
    }

    /** Looks up the IPv4 addresses, and the IPv6 addresses if there are none. */
    private RecordLookup.Records findAddresses(Name name, long deadline, boolean bypassCache)
            throws UnusableTargetException {
        RecordLookup lookup = resolver.find(name, Type.A, deadline, bypassCache);
        if (lookup instanceof RecordLookup.NoRecords) {
            lookup = resolver.find(name, Type.AAAA, deadline, bypassCache);
        }
        if (lookup instanceof RecordLookup.Records records) {
            return records;
        }
        throw new UnusableTargetException(lookup instanceof RecordLookup.NoRecords none
                ? "no address: " + none.reason()
                : "look-up of its address failed: " + ((RecordLookup.LookupFailure) lookup).reason());
    }

    /**
     * Checks that the address and port under {@code at} in the TXT record, if present, are those of the SRV and address
     * records; they differ if the records are of different age.
     */
    private static void checkClaimedAddress(String claimed, List<String> addresses, int port)
            throws UnusableTargetException {
        if (claimed == null) {
            return;
        }
        for (String address : addresses) {
            if (ServiceTarget.hostPort(address, port).equals(claimed)) {
                return;
            }
        }
        throw new UnusableTargetException(
                "its TXT record has at=" + claimed + ", but its addresses are " + addresses + " and its port is "
                        + port);
    }

    /** Returns a name without the trailing dot, in lower case. */
    static String plainName(Name name) {
        return name.toString(true).toLowerCase(Locale.ROOT);
    }

    private static List<String> addresses(List<Record> records) {
        var addresses = new TreeSet<String>();
        for (Record record : records) {
            addresses.add(record instanceof ARecord a
                    ? a.getAddress().getHostAddress()
                    : ((AAAARecord) record).getAddress().getHostAddress());
        }
        return List.copyOf(addresses);
    }

    /** Parses TXT records: the first of equal keys counts, and a key without a value has an empty one (RFC 6763). */
    private static Map<String, String> pairs(List<Record> records) {
        var pairs = new HashMap<String, String>();
        for (Record record : records) {
            for (byte[] bytes : ((TXTRecord) record).getStringsAsByteArrays()) {
                String pair = new String(bytes, StandardCharsets.UTF_8);
                int equals = pair.indexOf('=');
                String key = (equals < 0 ? pair : pair.substring(0, equals)).toLowerCase(Locale.ROOT);
                if (!key.isEmpty() && pairs.size() < MAX_TEXT_PAIRS) {
                    pairs.putIfAbsent(key, equals < 0 ? "" : pair.substring(equals + 1));
                }
            }
        }
        return Map.copyOf(pairs);
    }
}
