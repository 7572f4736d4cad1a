package wallmoor.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.dns.OneTimeLookup;
import wallmoor.dns.ServiceLookup;
import wallmoor.dns.ServiceTarget;
import wallmoor.json.Json;

/** Looks a service up as the gatherer would. */
@Command(name = "resolve", mixinStandardHelpOptions = true,
        description = "Look up a service's SRV records, with the addresses of its targets.",
        footer = {"Prints a line a node: target, address and port, priority, weight, lifetime in seconds.",
            "Exits 0 found, 2 bad usage, 3 no such records (NXDOMAIN, NODATA, or the one target \".\"),",
            "4 no useful answer (failing, silent, truncated beyond mending, malformed, a CNAME loop)."})
final class ResolveCommand implements Callable<Integer> {
    private static final int NO_RECORDS = 3;
    private static final int NO_ANSWER = 4;
    /** With the last try's own time, under the ten seconds that are promised. */
    private static final long MILLIS = 6_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--server", paramLabel = "HOST:PORT",
            description = "A DNS server, by address; may stand several times. Else those of the operators' file.")
    private List<String> servers = new ArrayList<>();

    @Option(names = "--json", description = "Print JSON objects, one a line.")
    private boolean json;

    @Parameters(paramLabel = "NAME", description = "The service, such as _calendar._tcp.example.")
    private String name;

    @Override
    public Integer call() {
        ServiceLookup result = OneTimeLookup.find(addresses(), name, MILLIS);
        if (result instanceof ServiceLookup.Resolved offered) {
            offered.faults().forEach(f -> System.err.println("wallmoor: " + f));
            if (offered.targets().isEmpty()) {
                System.err.println("wallmoor: " + name + ": no target can be used");
                return NO_ANSWER;
            }
            offered.targets().stream().sorted(Comparator.comparingInt(ServiceTarget::priority)
                    .thenComparingInt(t -> -t.weight()).thenComparing(ServiceTarget::name)).forEach(this::print);
            return 0;
        }
        if (result instanceof ServiceLookup.ServiceLookupFailure failed) {
            System.err.println("wallmoor: " + name + ": " + failed.reason());
            return NO_ANSWER;
        }
        System.err.println("wallmoor: " + name + ": "
                + (result instanceof ServiceLookup.NoService none ? none.reason()
                        : "the service is not offered"));
        return NO_RECORDS;
    }

    private List<InetSocketAddress> addresses() {
        try {
            if (!servers.isEmpty()) {
                return servers.stream().map(s -> LaunchConfig.address("--server", s)).toList();
            }
            OperatorConfig operator = files.operator(files.launch());
            if (operator.dns() != null) {
                return operator.dns().servers();
            }
        } catch (ConfigException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        throw new ParameterException(spec.commandLine(), "no --server, and no operators' file that names one");
    }

    private void print(ServiceTarget t) {
        long ttl = t.ttlMillis() / 1000;
        for (String address : t.addresses()) {
            if (!json) {
                System.out.println(t.name() + " " + ServiceTarget.hostPort(address, t.port()) + " " + t.priority() + " "
                        + t.weight() + " " + ttl);
                continue;
            }
            var line = new StringBuilder("{\"target\":");
            Json.quote(line, t.name());
            line.append(",\"address\":");
            Json.quote(line, address);
            System.out.println(line.append(",\"port\":").append(t.port()).append(",\"priority\":").append(t.priority())
                    .append(",\"weight\":").append(t.weight()).append(",\"ttl\":").append(ttl).append('}'));
        }
    }
}
