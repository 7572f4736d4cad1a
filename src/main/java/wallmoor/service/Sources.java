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

/** Creates the sources of calendar nodes that the operators' file configures, in the order of their rank. */
final class Sources {
    /** The share of a trusted source's endpoints that may disappear at once: all of them. */
    private static final double ALL_ENDPOINTS_SHARE = 1;

    private final Logger log = LoggerFactory.getLogger(Sources.class);
    private final EndpointUpdater updater;
    private final List<DnsSource> dnsSources;
    private final Dns dns;

    private Sources(EndpointUpdater updater, List<DnsSource> dnsSources, Dns dns) {
        this.updater = updater;
        this.dnsSources = dnsSources;
        this.dns = dns;
    }

    /**
     * Creates the configured sources and their endpoint updater.
     *
     * @param list the node list of discovery, or null if it is disabled
     */
    static Sources of(OperatorConfig operator, LaunchConfig launch, LongSupplier clock, Gatherer gatherer,
            EndpointSource list) {
        var sources = new ArrayList<EndpointSource>();
        var policies = new ArrayList<SourcePolicy>();
        var dnsSources = new ArrayList<DnsSource>();
        if (list != null) {
            sources.add(list);
            policies.add(new SourcePolicy(list.name(), true, operator.list().maxAgeMillis() * 1000,
                    ALL_ENDPOINTS_SHARE, OperatorConfig.MAX_NODES));
        }
        OperatorConfig.InventoryFile file = operator.inventory();
        if (file != null) {
            sources.add(new InventorySource(file.file(), launch.settings().layout(), launch.zones(), launch.kinds()));
            policies.add(new SourcePolicy("inventory", true, 0, ALL_ENDPOINTS_SHARE,
                    OperatorConfig.MAX_NODES));
        }
        Dns dns = operator.dns();
        if (dns != null) {
            for (OperatorConfig.DnsName name : dns.names()) { // separate sources: each name may cover one cell
                var source = new DnsSource(dns, name, launch);
                sources.add(source);
                dnsSources.add(source);
                policies.add(new SourcePolicy(DnsSource.nameOf(name), false, dns.maxAgeMillis() * 1000,
                        dns.maxLeavingShare(),
                        dns.maxRecords()));
            }
        }
        return new Sources(new EndpointUpdater(RegistryPolicy.of(List.copyOf(policies)), clock, gatherer, sources),
                dnsSources, dns);
    }

    EndpointUpdater endpointUpdater() {
        return updater;
    }

    /**
     * Applies the reloaded settings of DNS queries. The set of sources and their policies change only at the next
     * start, because the endpoint registry can't revise which sources it has trusted.
     */
    void reload(OperatorConfig changed) {
        Dns changedDns = changed.dns();
        if (changedDns == null || dns == null || !changedDns.names().equals(dns.names())
                || changedDns.maxAgeMillis() != dns.maxAgeMillis()
                || changedDns.maxLeavingShare() != dns.maxLeavingShare()
                || changedDns.maxRecords() != dns.maxRecords()) {
            if (!Objects.equals(changedDns, dns)) {
                log.warn("reload: sources.dns takes effect at the next start; only servers, timeout, least_ttl and"
                        + " most_ttl can change at run time");
            }
            return;
        }
        dnsSources.forEach(s -> s.reload(changedDns));
    }
}
