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
 * the targets accepted last. Not safe for concurrent use.
 */
public final class ServiceResolver {
    /** How many look-ups follow the first at most, to confirm changed targets. */
    private static final int MAX_CONFIRMATIONS = 3;
    /** The TTL while a change is not confirmed: the service is looked up again at once. */
    private static final long UNCONFIRMED_TTL_MILLIS = 1;

    private final StubResolver resolver;
    private final ParallelTargetLookup targets;
    private final int maxRecords;
    private final boolean confirmsChanges;
    private final LongSupplier clock;
    /** The {@link ServiceTarget#facts} of the targets accepted last. */
    private Set<String> accepted = Set.of();

    /**
     * Creates a resolver of services.
     *
     * @param maxRecords      how many SRV records a response may have; one with more is rejected
     * @param confirmsChanges whether a changed target is accepted only after two look-ups agree
     * @param clock           the clock of {@code resolver}, in milliseconds
     */
    ServiceResolver(StubResolver resolver, int maxRecords, boolean confirmsChanges, LongSupplier clock) {
        this.resolver = resolver;
        this.maxRecords = maxRecords;
        this.confirmsChanges = confirmsChanges;
        this.clock = clock;
        targets = new ParallelTargetLookup(new TargetResolver(resolver));
    }

    /**
     * Looks up a service; gives up after so many milliseconds. If changes are to be confirmed, a changed target is
     * accepted only when two look-ups of all its records agree. SRV, address and TXT records are queried one after
     * another: a target that moves in between would otherwise have the port of one endpoint and the identity of
     * another.
     */
    ServiceLookup find(String service, long millis) {
        long deadline = clock.getAsLong() + millis;
        Name name;
        try {
            name = Name.fromString(service, Name.root);
        } catch (TextParseException e) {
            return new ServiceLookup.ServiceLookupFailure(service + " is not a valid DNS name: " + e.getMessage());
        }
        ServiceLookup first = lookUp(name, deadline, Set.of());
        return confirmsChanges && first instanceof ServiceLookup.Resolved resolved
                ? confirm(name, deadline, resolved)
                : first;
    }

    /** Looks up changed targets again until two look-ups agree, or {@code MAX_CONFIRMATIONS} is reached. */
    private ServiceLookup confirm(Name name, long deadline, ServiceLookup.Resolved first) {
        ServiceLookup.Resolved last = first;
        Set<String> unconfirmed = changedTargets(last);
        for (int i = 0; i < MAX_CONFIRMATIONS && !unconfirmed.isEmpty(); i++) {
            if (!(lookUp(name, deadline, unconfirmed) instanceof ServiceLookup.Resolved next)) {
                break; // the changed targets stay unconfirmed
            }
            unconfirmed = withoutAgreed(changedTargets(next), last, next);
            last = next;
        }
        return accept(last, unconfirmed);
    }

    /** Returns the names of the targets that differ from those accepted last. */
    private Set<String> changedTargets(ServiceLookup.Resolved resolved) {
        Set<String> changed = new HashSet<>();
        for (ServiceTarget target : resolved.targets()) {
            if (!accepted.contains(target.facts())) {
                changed.add(target.name());
            }
        }
        return changed;
    }

    /** Returns those of the names whose targets differ between two look-ups. */
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

    /** Returns the look-up without the unconfirmed targets, and remembers the other targets as accepted. */
    private ServiceLookup accept(ServiceLookup.Resolved resolved, Set<String> unconfirmed) {
        var acceptedTargets = new ArrayList<ServiceTarget>();
        for (ServiceTarget target : resolved.targets()) {
            if (!unconfirmed.contains(target.name())) {
                acceptedTargets.add(target);
            }
        }
        var faults = new ArrayList<>(resolved.faults());
        for (String name : new TreeSet<>(unconfirmed)) {
            faults.add(name + ": its records changed between look-ups; it is not used until two look-ups agree");
        }
        accepted = Set.copyOf(facts(acceptedTargets));
        long ttl = unconfirmed.isEmpty() ? resolved.ttlMillis() : UNCONFIRMED_TTL_MILLIS;
        return new ServiceLookup.Resolved(List.copyOf(acceptedTargets), List.copyOf(faults), ttl);
    }

    /**
     * Looks up the service once.
     *
     * @param bypassing the names of the targets that bypass the cache; if there are any, so do the SRV records
     */
    private ServiceLookup lookUp(Name name, long deadline, Set<String> bypassing) {
        RecordLookup lookup = resolver.find(name, Type.SRV, deadline, !bypassing.isEmpty());
        if (lookup instanceof RecordLookup.NoRecords none) {
            return new ServiceLookup.NoService(none.reason(), none.ttlMillis());
        }
        if (lookup instanceof RecordLookup.LookupFailure failure) {
            return new ServiceLookup.ServiceLookupFailure(failure.reason());
        }
        var found = (RecordLookup.Records) lookup;
        if (found.stale()) {
            return new ServiceLookup.ServiceLookupFailure("no server answered; only a stale answer is cached");
        }
        List<Record> records = found.records();
        if (records.size() > maxRecords) {
            return new ServiceLookup.ServiceLookupFailure(records.size() + " SRV records, the limit is " + maxRecords);
        }
        if (records.size() == 1 && ((SRVRecord) records.get(0)).getTarget().equals(Name.root)) {
            return new ServiceLookup.NotOffered(found.ttlMillis());
        }
        return targets.find(found, deadline, bypassing);
    }
}
