package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * Looks up a service: its SRV records (RFC 2782), and for each target the addresses and the TXT record. It remembers
 * which targets it believed last; one caller at a time.
 */
public final class ServiceResolver {
    /** Readings after the first at most, to confirm what has changed. */
    private static final int MAX_CONFIRMATIONS = 3;
    /** After how long to look up again while a change is not confirmed: at once. */
    private static final long UNCONFIRMED_TTL_MILLIS = 1;

    private final StubResolver resolver;
    private final ParallelTargetLookup targets;
    private final int maxRecords;
    private final boolean confirmsChanges;
    private final LongSupplier clock;
    /** The facts of the targets as they were believed last. */
    private Set<String> accepted = Set.of();

    /**
     * Makes it.
     *
     * @param maxRecords      a response with more is not used
     * @param confirmsChanges whether what changed is to be read twice before it is believed
     * @param clock           the resolver's, in milliseconds
     */
    ServiceResolver(StubResolver resolver, int maxRecords, boolean confirmsChanges, LongSupplier clock) {
        this.resolver = resolver;
        this.maxRecords = maxRecords;
        this.confirmsChanges = confirmsChanges;
        this.clock = clock;
        targets = new ParallelTargetLookup(new TargetResolver(resolver));
    }

    /**
     * Looks up a service; gives up after so many milliseconds. A target that has changed in any way is believed only
     * when two readings of all its records from servers agree: SRV, address and TXT are read one after another, and one
     * that moved between two readings would else have the port of one endpoint and the identity of another.
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
        return confirmsChanges && first instanceof ServiceLookup.Resolved resolved
                ? confirm(name, deadline, resolved)
                : first;
    }

    /** Reads changed targets again until two readings agree, or there were too many. */
    private ServiceLookup confirm(Name name, long deadline, ServiceLookup.Resolved first) {
        ServiceLookup.Resolved last = first;
        Set<String> unconfirmed = changedTargets(last);
        for (int i = 0; i < MAX_CONFIRMATIONS && !unconfirmed.isEmpty(); i++) {
            if (!(read(name, deadline, unconfirmed) instanceof ServiceLookup.Resolved next)) {
                break; // what changed stays unconfirmed
            }
            unconfirmed = withoutAgreed(changedTargets(next), last, next);
            last = next;
        }
        return believed(last, unconfirmed);
    }

    /** The names of the targets that differ from those believed last. */
    private Set<String> changedTargets(ServiceLookup.Resolved resolved) {
        Set<String> changed = new HashSet<>();
        for (ServiceTarget target : resolved.targets()) {
            if (!accepted.contains(target.facts())) {
                changed.add(target.name());
            }
        }
        return changed;
    }

    /** The names left of those whose targets aren't all alike in two readings. */
    private static Set<String> withoutAgreed(Set<String> names, ServiceLookup.Resolved last,
            ServiceLookup.Resolved next) {
        Set<String> lastFacts = facts(last.targets());
        Set<String> disagreeing = new HashSet<>();
        for (ServiceTarget target : next.targets()) {
            if (names.contains(target.name()) && !lastFacts.contains(target.facts())) {
                disagreeing.add(target.name());
            }
        }
        return disagreeing;
    }

    private static Set<String> facts(List<ServiceTarget> targets) {
        Set<String> facts = new HashSet<>();
        for (ServiceTarget target : targets) {
            facts.add(target.facts());
        }
        return facts;
    }

    private ServiceLookup believed(ServiceLookup.Resolved resolved, Set<String> unconfirmed) {
        var believed = new ArrayList<ServiceTarget>();
        for (ServiceTarget target : resolved.targets()) {
            if (!unconfirmed.contains(target.name())) {
                believed.add(target);
            }
        }
        var faults = new ArrayList<>(resolved.faults());
        for (String name : new TreeSet<>(unconfirmed)) {
            faults.add(name + ": its records are changing, and not believed yet");
        }
        accepted = Set.copyOf(facts(believed));
        long ttl = unconfirmed.isEmpty() ? resolved.ttlMillis() : UNCONFIRMED_TTL_MILLIS;
        return new ServiceLookup.Resolved(List.copyOf(believed), List.copyOf(faults), ttl);
    }

    /** One reading; the service and the targets of these names bypass the cache, the rest may come from it. */
    private ServiceLookup read(Name name, long deadline, Set<String> bypassing) {
        RecordLookup lookup = resolver.find(name, Type.SRV, deadline, !bypassing.isEmpty());
        if (lookup instanceof RecordLookup.NoRecords none) {
            return new ServiceLookup.NoService(none.reason(), none.ttlMillis());
        }
        if (lookup instanceof RecordLookup.LookupFailure failure) {
            return new ServiceLookup.ServiceLookupFailure(failure.reason());
        }
        var found = (RecordLookup.Records) lookup;
        if (found.stale()) {
            return new ServiceLookup.ServiceLookupFailure("no server answers");
        }
        List<Record> records = found.records();
        if (records.size() > maxRecords) {
            return new ServiceLookup.ServiceLookupFailure(records.size() + " SRV records, more than " + maxRecords);
        }
        if (records.size() == 1 && ((SRVRecord) records.get(0)).getTarget().equals(Name.root)) {
            return new ServiceLookup.NotOffered(found.ttlMillis());
        }
        return targets.find(found, deadline, bypassing);
    }
}
