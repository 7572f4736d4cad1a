package wallmoor.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.config.OperatorConfig.Dns;
import wallmoor.core.Gatherer;
import wallmoor.dns.DnsSource;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.inventory.InventorySource;
import wallmoor.sources.EndpointSource;
import wallmoor.sources.EndpointUpdater;

/** Makes the sources of the calendar nodes that the operators' file names, in the order of their rank. */
final class Sources {
    /** A share this large of a trusted source may leave at once: all of it. */
    private static final double ALL = 1;

    private final Logger log = LoggerFactory.getLogger(Sources.class);
    private final EndpointUpdater membership;
    private final List<DnsSource> services;
    private final Dns dns;

    private Sources(EndpointUpdater membership, List<DnsSource> services, Dns dns) {
        this.membership = membership;
        this.services = services;
        this.dns = dns;
    }

    /** The membership of the calendar nodes; {@code list} is null where it is off. */
    static Sources of(OperatorConfig operator, LaunchConfig launch, LongSupplier clock, Gatherer gatherer,
            EndpointSource list) {
        var sources = new ArrayList<EndpointSource>();
        var policies = new ArrayList<SourcePolicy>();
        var services = new ArrayList<DnsSource>();
        if (list != null) {
            sources.add(list);
            policies.add(new SourcePolicy(list.name(), true, operator.list().maxAgeMillis() * 1000,
                    ALL, OperatorConfig.MAX_NODES));
        }
        OperatorConfig.InventoryFile file = operator.inventory();
        if (file != null) {
            sources.add(new InventorySource(file.file(), launch.settings().layout(), launch.zones(), launch.kinds()));
            policies.add(new SourcePolicy("inventory", true, 0, ALL, OperatorConfig.MAX_NODES));
        }
        Dns dns = operator.dns();
        if (dns != null) {
            for (OperatorConfig.DnsName name : dns.names()) { // each stands or falls alone: they may name a cell each
                var source = new DnsSource(dns, name, launch);
                sources.add(source);
                services.add(source);
                policies.add(new SourcePolicy(DnsSource.nameOf(name), false, dns.maxAgeMillis() * 1000,
                        dns.maxLeavingShare(),
                        dns.maxRecords()));
            }
        }
        return new Sources(new EndpointUpdater(RegistryPolicy.of(List.copyOf(policies)), clock, gatherer, sources),
                services, dns);
    }

    EndpointUpdater membership() {
        return membership;
    }

    /**
     * Takes a file that was read again: DNS is asked as it says from now on. Which sources there are, and their policy,
     * holds from the next start, as a roster can't change its mind about whom it trusted.
     */
    void reload(OperatorConfig changed) {
        Dns other = changed.dns();
        if (other == null || dns == null || !other.names().equals(dns.names())
                || other.maxAgeMillis() != dns.maxAgeMillis() || other.maxLeavingShare() != dns.maxLeavingShare()
                || other.maxRecords() != dns.maxRecords()) {
            if (!Objects.equals(other, dns)) {
                log.warn("of sources.dns only servers, timeout, least_ttl and most_ttl can change in service;"
                        + " the rest holds from the next start");
            }
            return;
        }
        services.forEach(s -> s.reload(other));
    }
}
