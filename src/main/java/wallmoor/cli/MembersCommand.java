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

/** Shows which nodes a gatherer started now would hold, and why. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Ask all sources as a gatherer would, and print the nodes with the cause of each one's state.",
        footer = {"No gatherer is asked and nothing is served: these are the nodes as a fresh one would see them.",
            "Exits 0, 2 on a faulty configuration, 4 when a source could not be heard (the rest is printed)."})
final class MembersCommand implements Callable<Integer> {
    private static final int NO_ANSWER = 4;

    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "10",
            description = "For how long to wait until every source was heard (default ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--json", description = "Print JSON objects, one a line.")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
        try {
            LaunchConfig launch = files.launch();
            OperatorConfig operator = files.operator(launch);
            EndpointPreview look = EndpointPreview.poll(launch, operator, 1000L * Math.max(1, Math.min(600, seconds)));
            look.nodes().forEach(this::print);
            look.sources().forEach(s -> System.err.println(s.source() + ": " + s.endpoints() + " nodes, "
                    + (s.pendingRemoval() > 0 ? s.pendingRemoval() + " of them doubted, " : "") + s.state()));
            return look.allSourcesAnswered() ? 0 : NO_ANSWER;
        } catch (ConfigException | Json.Malformed e) {
            System.err.println("wallmoor: " + e.getMessage());
            return Commands.USAGE;
        }
    }

    private void print(EndpointStatus s) {
        var m = s.endpoint();
        if (!json) {
            System.out.println(m.id() + " " + m.address() + " cell " + m.cell() + " size " + m.size() + " " + m.state()
                    + ": " + s.cause());
            return;
        }
        var line = new StringBuilder("{\"node\":");
        Json.quote(line, m.id());
        line.append(",\"address\":");
        Json.quote(line, m.address());
        line.append(",\"cell\":").append(m.cell()).append(",\"size\":").append(m.size()).append(",\"state\":");
        Json.quote(line, m.state().toString());
        line.append(",\"cause\":");
        Json.quote(line, String.valueOf(s.cause()));
        System.out.println(line.append('}'));
    }
}
