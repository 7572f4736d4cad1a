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

/** Looks up the addresses and the TXT record of one SRV record's target. Safe for threads. */
final class TargetResolver {
    /** Pairs of a TXT record that are read at most. */
    private static final int MAX_TEXT_PAIRS = 32;

    private final StubResolver resolver;

    TargetResolver(StubResolver resolver) {
        this.resolver = resolver;
    }

    /**
     * The target of an SRV record.
     *
     * @param ttlMillis   the TTL of the SRV record
     * @param deadline    when to give up, on the resolver's clock
     * @param bypassCache whether servers are asked, whatever the cache holds
     * @throws UnusableTargetException if it has no port, no address, or records that contradict each other
     */
    ServiceTarget resolve(SRVRecord srv, long ttlMillis, long deadline, boolean bypassCache)
            throws UnusableTargetException {
        if (srv.getTarget().equals(Name.root) || srv.getPort() == 0) {
            throw new UnusableTargetException("no target, or no port, beside others that are");
        }
        RecordLookup.Records found = findAddresses(srv.getTarget(), deadline, bypassCache);
        long ttl = Math.min(ttlMillis, found.ttlMillis());
        Map<String, String> text = Map.of();
        RecordLookup txt = resolver.find(srv.getTarget(), Type.TXT, deadline, bypassCache);
        if (txt instanceof RecordLookup.LookupFailure failure) { // its identity stays open: a guess would change it
            throw new UnusableTargetException("its TXT record can't be had: " + failure.reason());
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
                : "its address can't be had: " + ((RecordLookup.LookupFailure) lookup).reason());
    }

    /** The key {@code at} of a TXT record tells records of different age apart. */
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
                "its TXT record speaks of " + claimed + ", and its SRV record and address of another place");
    }

    /** A name without the dot at its end, in lower case. */
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

    /** Of a key that stands twice the first counts, one without a value has an empty one (RFC 6763). */
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
