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

/** Looks up a service in DNS as the gatherer does. */
@Command(name = "resolve", mixinStandardHelpOptions = true,
        description = "Look up a service's SRV records, with the addresses of its targets.",
        footer = {"Prints one line per node: target, address and port, priority, weight, time to live in seconds.",
            "Exits 0 found, 2 invalid usage, 3 no such records (NXDOMAIN, NODATA, or the only target is \".\"),",
            "4 no usable answer (server failure, timeout, truncated also over TCP, malformed, a CNAME loop)."})
final class ResolveCommand implements Callable<Integer> {
    private static final int NO_RECORDS = 3;
    private static final int NO_ANSWER = 4;
    /** Limit of the lookup; with the time of the last attempt, the command ends within ten seconds. */
    private static final long TIMEOUT_MILLIS = 6_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--server", paramLabel = "HOST:PORT",
            description = "The address of a DNS server; repeatable (default: those of the operators' file).")
    private List<String> servers = new ArrayList<>();

    @Option(names = "--json", description = "Print JSON objects, one per line.")
    private boolean json;

    @Parameters(paramLabel = "NAME", description = "The service, such as _calendar._tcp.example.")
    private String name;

    @Override
    public Integer call() {
        ServiceLookup result = OneTimeLookup.find(addresses(), name, TIMEOUT_MILLIS);
        if (result instanceof ServiceLookup.Resolved resolved) {
            resolved.faults().forEach(f -> System.err.println("wallmoor: " + f));
            if (resolved.targets().isEmpty()) {
                System.err.println("wallmoor: " + name + ": no usable target");
                return NO_ANSWER;
            }
            resolved.targets().stream().sorted(Comparator.comparingInt(ServiceTarget::priority)
                    .thenComparingInt(t -> -t.weight()).thenComparing(ServiceTarget::name)).forEach(this::print);
            return 0;
        }
        if (result instanceof ServiceLookup.ServiceLookupFailure failure) {
            System.err.println("wallmoor: " + name + ": " + failure.reason());
            return NO_ANSWER;
        }
        System.err.println("wallmoor: " + name + ": "
                + (result instanceof ServiceLookup.NoService noService ? noService.reason()
                        : "the service is not offered"));
        return NO_RECORDS;
    }

    private List<InetSocketAddress> addresses() {
        try {
            if (!servers.isEmpty()) {
                return servers.stream().map(s -> LaunchConfig.address("--server", s)).toList();
            }
            OperatorConfig operator = files.readOperatorConfig(files.readLaunchConfig());
            if (operator.dns() != null) {
                return operator.dns().servers();
            }
        } catch (ConfigException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        throw new ParameterException(spec.commandLine(),
                "no DNS server: --server is not given and the operators' file has no sources.dns");
    }

    private void print(ServiceTarget target) {
        long ttlSeconds = target.ttlMillis() / 1000;
        for (String address : target.addresses()) {
            if (!json) {
                System.out.println(target.name() + " " + ServiceTarget.hostPort(address, target.port()) + " "
                        + target.priority() + " " + target.weight() + " " + ttlSeconds);
                continue;
            }
            var line = new StringBuilder("{\"target\":");
            Json.quote(line, target.name());
            line.append(",\"address\":");
            Json.quote(line, address);
            System.out.println(line.append(",\"port\":").append(target.port()).append(",\"priority\":")
                    .append(target.priority()).append(",\"weight\":").append(target.weight())
                    .append(",\"ttl\":").append(ttlSeconds).append('}'));
        }
    }
}
