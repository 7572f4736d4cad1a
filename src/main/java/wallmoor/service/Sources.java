package wallmoor.service;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.Launch;
import wallmoor.config.Operator;
import wallmoor.config.Operator.Dns;
import wallmoor.core.Gatherer;
import wallmoor.dns.DnsSource;
import wallmoor.inventory.Inventory;
import wallmoor.membership.Policy;
import wallmoor.sources.Membership;
import wallmoor.sources.Source;

/** Makes the sources of the calendar nodes that the operators' file names, in the order of their rank. */
final class Sources {
    /** A share this large of a trusted source may leave at once: all of it. */
    private static final double ALL = 1;

    private final Logger log = LoggerFactory.getLogger(Sources.class);
    private final Membership membership;
    private final List<DnsSource> services;
    private final Dns dns;

    private Sources(Membership membership, List<DnsSource> services, Dns dns) {
        this.membership = membership;
        this.services = services;
        this.dns = dns;
    }

    /** The membership of the calendar nodes; {@code list} is null where it is off. */
    static Sources of(Operator operator, Launch launch, LongSupplier clock, Gatherer gatherer, Source list) {
        var sources = new ArrayList<Source>();
        var policies = new ArrayList<Policy.Source>();
        var services = new ArrayList<DnsSource>();
        if (list != null) {
            sources.add(list);
            policies.add(new Policy.Source(list.name(), true, operator.list().mostAge() * 1000,
                    ALL, Operator.MOST_NODES));
        }
        Operator.InventoryFile file = operator.inventory();
        if (file != null) {
            sources.add(new Inventory(file.file(), launch.settings().layout(), launch.zones(), launch.kinds()));
            policies.add(new Policy.Source("inventory", true, 0, ALL, Operator.MOST_NODES));
        }
        Dns dns = operator.dns();
        if (dns != null) {
            for (Operator.DnsName name : dns.names()) { // each stands or falls alone: they may name a cell each
                var source = new DnsSource(dns, name, launch);
                sources.add(source);
                services.add(source);
                policies.add(new Policy.Source(DnsSource.nameOf(name), false, dns.mostAge() * 1000, dns.leaving(),
                        dns.mostRecords()));
            }
        }
        return new Sources(new Membership(Policy.of(List.copyOf(policies)), clock, gatherer, sources), services, dns);
    }

    Membership membership() {
        return membership;
    }

    /**
     * Takes a file that was read again: DNS is asked as it says from now on. Which sources there are, and their policy,
     * holds from the next start, as a roster can't change its mind about whom it trusted.
     */
    void reload(Operator changed) {
        Dns other = changed.dns();
        if (other == null || dns == null || !other.names().equals(dns.names()) || other.mostAge() != dns.mostAge()
                || other.leaving() != dns.leaving() || other.mostRecords() != dns.mostRecords()) {
            if (other != dns) {
                log.warn("of sources.dns only servers, timeout, least_ttl and most_ttl can change in service;"
                        + " the rest holds from the next start");
            }
            return;
        }
        services.forEach(s -> s.reload(other));
    }
}
