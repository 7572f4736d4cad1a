package wallmoor.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.endpoints.EndpointStatus;
import wallmoor.json.Json;
import wallmoor.service.EndpointPreview;

/** Shows the nodes that a gatherer started now would use, each with the cause of its state. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Query all sources as a gatherer does, and print the nodes with the cause of each one's state.",
        footer = {"No gatherer is contacted and nothing is served: these are the nodes that a new gatherer would see.",
            "Exits 0 on success, 2 on an invalid configuration, 4 if a source did not report (the others are",
            "printed)."})
final class MembersCommand implements Callable<Integer> {
    private static final int NO_ANSWER = 4;

    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "10",
            description = "How long to wait for a report of every source, from 1 to 600 (default ${DEFAULT-VALUE}).")
    private int waitSeconds;

    @Option(names = "--json", description = "Print JSON objects, one per line.")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
        try {
            LaunchConfig launch = files.readLaunchConfig();
            OperatorConfig operator = files.readOperatorConfig(launch);
            EndpointPreview preview = EndpointPreview.poll(launch, operator,
                    1000L * Math.max(1, Math.min(600, waitSeconds)));
            preview.nodes().forEach(this::print);
            preview.sources().forEach(source -> System.err.println(source.source() + ": " + source.endpoints()
                    + " nodes, "
                    + (source.pendingRemoval() > 0 ? source.pendingRemoval() + " of them pending removal, " : "")
                    + source.state()));
            return preview.allSourcesAnswered() ? 0 : NO_ANSWER;
        } catch (ConfigException | Json.Malformed e) {
            System.err.println("wallmoor: " + e.getMessage());
            return Commands.USAGE_ERROR;
        }
    }

    private void print(EndpointStatus status) {
        var endpoint = status.endpoint();
        if (!json) {
            System.out.println(endpoint.id() + " " + endpoint.address() + " cell " + endpoint.cell()
                    + " size " + endpoint.size() + " " + endpoint.state() + ": " + status.cause());
            return;
        }
        var line = new StringBuilder("{\"node\":");
        Json.quote(line, endpoint.id());
        line.append(",\"address\":");
        Json.quote(line, endpoint.address());
        line.append(",\"cell\":").append(endpoint.cell()).append(",\"size\":").append(endpoint.size())
                .append(",\"state\":");
        Json.quote(line, endpoint.state().toString());
        line.append(",\"cause\":");
        Json.quote(line, String.valueOf(status.cause()));
        System.out.println(line.append('}'));
    }
}
