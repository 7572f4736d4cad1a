package wallmoor.dns;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import wallmoor.http.Threads;

/** Looks a service up: its SRV records (RFC 2782), and for each target the addresses and the TXT record. */
public final class ServiceResolver {
    /** Look-ups at once: more would be a burst that servers drop. */
    private static final int AT_ONCE = 8;
    private static final int MOST_TEXT = 32;
    /** Readings after the first at most, for what has changed. */
    private static final int MOST_READINGS = 3;

    /** What came of it. */
    public sealed interface ServiceLookup {

        /**
         * The service's targets.
         *
         * @param targets  those of which an address was found
         * @param faults   what is wrong with the others, in words that name them
         * @param ttlMillis milliseconds until it should be looked up again at the latest
         */
        record Resolved(List<ServiceTarget> targets, List<String> faults, long ttlMillis) implements ServiceLookup {}

        /** The one target is the root: the service is decidedly not available there (RFC 2782). */
        record NotOffered(long ttlMillis) implements ServiceLookup {}

        /** No such records; {@code why} is NXDOMAIN or NODATA. */
        record NoService(String reason, long ttlMillis) implements ServiceLookup {}

        /** No useful answer. */
        record ServiceLookupFailure(String reason) implements ServiceLookup {}
    }

    private final StubResolver resolver;
    private final int mostRecords;
    private final boolean confirms;
    private final LongSupplier clock;
    /** Targets as they were believed last, without their lifetimes. */
    private Set<String> accepted = Set.of();

    /**
     * Makes it.
     *
     * @param mostRecords an answer with more is not used
     * @param confirms    whether what changed is to be read twice before it is believed
     * @param clock       the resolver's
     */
    ServiceResolver(StubResolver resolver, int mostRecords, boolean confirms, LongSupplier clock) {
        this.resolver = resolver;
        this.mostRecords = mostRecords;
        this.confirms = confirms;
        this.clock = clock;
    }

    /**
     * Looks a service up; gives up after so many milliseconds. A target that has changed in any way is believed only
     * when two readings of all its records from servers agree: SRV, address and TXT are read one after another, and one
     * that moved between two readings would else have the port of one node and the identity of another.
     */
    ServiceLookup find(String service, long millis) {
        long deadline = clock.getAsLong() + millis;
        Name name;
        try {
            name = Name.fromString(service, Name.root);
        } catch (TextParseException e) {
            return new ServiceLookup.ServiceLookupFailure(service + " is no name: " + e.getMessage());
        }
        ServiceLookup first = read(name, deadline, Set.of());
        if (!confirms || !(first instanceof ServiceLookup.Resolved last)) {
            return first;
        }
        Set<String> open = changed(last);
        for (int i = 0; i < MOST_READINGS && !open.isEmpty(); i++) {
            if (!(read(name, deadline, open) instanceof ServiceLookup.Resolved next)) {
                break; // what changed stays unconfirmed
            }
            var agreed = new HashSet<>(next.targets().stream().map(ServiceTarget::facts).toList());
            agreed.retainAll(last.targets().stream().map(ServiceTarget::facts).toList());
            open = changed(next);
            open.removeIf(n -> next.targets().stream().filter(t -> t.name().equals(n))
                    .allMatch(t -> agreed.contains(t.facts())));
            last = next;
        }
        return believed(last, open);
    }

    private Set<String> changed(ServiceLookup.Resolved offered) {
        Set<String> changed = new HashSet<>();
        offered.targets().stream().filter(t -> !accepted.contains(t.facts())).forEach(t -> changed.add(t.name()));
        return changed;
    }

    private ServiceLookup believed(ServiceLookup.Resolved offered, Set<String> open) {
        var targets = new ArrayList<>(offered.targets());
        targets.removeIf(t -> open.contains(t.name()));
        var faults = new ArrayList<>(offered.faults());
        open.stream().sorted().forEach(n -> faults.add(n + ": its records are changing, and not believed yet"));
        accepted = Set.copyOf(targets.stream().map(ServiceTarget::facts).toList());
        return new ServiceLookup.Resolved(List.copyOf(targets), List.copyOf(faults),
                open.isEmpty() ? offered.ttlMillis() : 1);
    }

    /** One reading; the service and these targets are asked of servers, the rest may come from the cache. */
    private ServiceLookup read(Name name, long deadline, Set<String> anew) {
        RecordLookup found = resolver.find(name, Type.SRV, deadline, !anew.isEmpty());
        if (found instanceof RecordLookup.NoRecords none) {
            return new ServiceLookup.NoService(none.reason(), none.ttlMillis());
        }
        if (found instanceof RecordLookup.LookupFailure failure) {
            return new ServiceLookup.ServiceLookupFailure(failure.reason());
        }
        var records = (RecordLookup.Records) found;
        if (records.stale()) {
            return new ServiceLookup.ServiceLookupFailure("no server answers");
        }
        if (records.records().size() > mostRecords) {
            return new ServiceLookup.ServiceLookupFailure(
                    records.records().size() + " SRV records, more than " + mostRecords);
        }
        if (records.records().size() == 1 && ((SRVRecord) records.records().get(0)).getTarget().equals(Name.root)) {
            return new ServiceLookup.NotOffered(records.ttlMillis());
        }
        return targets(records, deadline, anew);
    }

    private ServiceLookup targets(RecordLookup.Records found, long deadline, Set<String> anew) {
        List<Record> records = found.records();
        var targets = new ServiceTarget[records.size()];
        var faults = new String[records.size()];
        var next = new AtomicInteger();
        var threads = new ArrayList<Thread>();
        for (int t = 0; t < Math.min(AT_ONCE, records.size()); t++) {
            threads.add(Threads.start("dns-look-" + t, () -> {
                for (int i = next.getAndIncrement(); i < targets.length; i = next.getAndIncrement()) {
                    var srv = (SRVRecord) records.get(i);
                    try {
                        targets[i] = target(srv, found.ttlMillis(), deadline, anew.contains(plain(srv.getTarget())));
                    } catch (Unusable | RuntimeException e) {
                        faults[i] = plain(srv.getTarget()) + ": " + e.getMessage();
                    }
                }
            }));
        }
        try {
            for (Thread t : threads) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new ServiceLookup.ServiceLookupFailure("interrupted");
        }
        var good = new ArrayList<ServiceTarget>();
        var bad = new ArrayList<String>();
        long lifetime = found.ttlMillis();
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < targets.length; i++) {
            if (targets[i] == null) {
                bad.add(faults[i]);
            } else if (!seen.add(targets[i].name() + ":" + targets[i].port())) {
                bad.add(targets[i].name() + ": port " + targets[i].port() + " stands twice");
            } else {
                good.add(targets[i]);
                lifetime = Math.min(lifetime, targets[i].ttlMillis());
            }
        }
        return new ServiceLookup.Resolved(List.copyOf(good), List.copyOf(bad), lifetime);
    }

    /** Why a record can't be used. */
    private static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String why) {
            super(why);
        }
    }

    private ServiceTarget target(SRVRecord srv, long lifetime, long deadline, boolean anew) throws Unusable {
        if (srv.getTarget().equals(Name.root) || srv.getPort() == 0) {
            throw new Unusable("no target, or no port, beside others that are");
        }
        long ttl = lifetime;
        RecordLookup at = resolver.find(srv.getTarget(), Type.A, deadline, anew);
        if (at instanceof RecordLookup.NoRecords) {
            at = resolver.find(srv.getTarget(), Type.AAAA, deadline, anew);
        }
        if (!(at instanceof RecordLookup.Records addresses)) {
            throw new Unusable(at instanceof RecordLookup.NoRecords none ? "no address: " + none.reason()
                    : "its address can't be had: " + ((RecordLookup.LookupFailure) at).reason());
        }
        ttl = Math.min(ttl, addresses.ttlMillis());
        Map<String, String> text = Map.of();
        RecordLookup said = resolver.find(srv.getTarget(), Type.TXT, deadline, anew);
        // who it is stays open: a guess would make it another node
        if (said instanceof RecordLookup.LookupFailure failure) {
            throw new Unusable("its TXT record can't be had: " + failure.reason());
        }
        if (said instanceof RecordLookup.Records t) {
            text = text(t.records());
            ttl = Math.min(ttl, t.ttlMillis());
        } else {
            ttl = Math.min(ttl, ((RecordLookup.NoRecords) said).ttlMillis());
        }
        List<String> places = addresses(addresses.records());
        String claimed = text.get("at");
        if (claimed != null
                && places.stream().noneMatch(a -> ServiceTarget.hostPort(a, srv.getPort()).equals(claimed))) {
            throw new Unusable(
                    "its TXT record speaks of " + claimed + ", and its SRV record and address of another place");
        }
        return new ServiceTarget(plain(srv.getTarget()), places, srv.getPort(), srv.getPriority(), srv.getWeight(),
                text, ttl);
    }

    static String plain(Name name) {
        return name.toString(true).toLowerCase(Locale.ROOT);
    }

    private static List<String> addresses(List<Record> records) {
        return records.stream().map(r -> r instanceof ARecord a ? a.getAddress().getHostAddress()
                : ((AAAARecord) r).getAddress().getHostAddress()).distinct().sorted().toList();
    }

    /**
     * Keys and values; of a key that stands twice the first counts, one without a value has an empty one (RFC 6763).
     */
    private static Map<String, String> text(List<Record> records) {
        var pairs = new HashMap<String, String>();
        for (Record r : records) {
            for (byte[] bytes : ((TXTRecord) r).getStringsAsByteArrays()) {
                String pair = new String(bytes, StandardCharsets.UTF_8);
                int equals = pair.indexOf('=');
                String key = (equals < 0 ? pair : pair.substring(0, equals)).toLowerCase(Locale.ROOT);
                if (!key.isEmpty() && pairs.size() < MOST_TEXT) {
                    pairs.putIfAbsent(key, equals < 0 ? "" : pair.substring(equals + 1));
                }
            }
        }
        return Map.copyOf(pairs);
    }
}
