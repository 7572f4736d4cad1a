package wallmoor.cli;

import com.fasterxml.uuid.Generators;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wallmoor.client.ClientResult;
import wallmoor.client.CoapDevice;
import wallmoor.client.HttpDevice;
import wallmoor.client.RetryBackoff;
import wallmoor.json.Json;

/** Asks the edge as a device would, over either wire. */
@Command(name = "device", mixinStandardHelpOptions = true, description = "Ask the edge as a device does.",
        subcommands = {DeviceCommand.AskCommand.class, DeviceCommand.OutcomeCommand.class})
final class DeviceCommand extends CommandGroup {
    DeviceCommand() {
        super("ask or outcome");
    }

    /** What both have. */
    abstract static class Common {
        @Spec
        CommandSpec spec;

        @Option(names = "--edge", required = true, paramLabel = "URL",
                description = "http://HOST:PORT or coap://HOST:PORT.")
        URI edge;

        @Option(names = "--token-file", required = true, paramLabel = "FILE",
                description = "A file with the device's token.")
        Path token;

        @Option(names = "--patience", defaultValue = "60", paramLabel = "SECONDS",
                description = "How long to go on asking (default ${DEFAULT-VALUE}).")
        long patience;

        final int learn(String id, byte[] query) throws InterruptedException, IOException {
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            var pace = new RetryBackoff(200, 5_000, now + TimeUnit.SECONDS.toMillis(Math.max(1, patience)));
            String held = java.nio.file.Files.readString(token).trim();
            Consumer<String> progress = line -> System.err.println(id + ": " + line);
            ClientResult result;
            if ("http".equals(edge.getScheme())) {
                result = new HttpDevice(edge, held, true, true, Duration.ofSeconds(20), progress).ask(id, query, pace);
            } else if ("coap".equals(edge.getScheme())) {
                try (var device = new CoapDevice(edge, held, progress)) {
                    result = device.ask(id, query, pace);
                }
            } else {
                throw new ParameterException(spec.commandLine(), "--edge is neither http://… nor coap://…");
            }
            System.out.println(new String(result.body(), StandardCharsets.UTF_8));
            System.err.println(
                    id + ": " + result.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + ", after "
                            + result.attempts() + " requests");
            return result.kind().code();
        }
    }

    private static final String CODES = "Exits 0 answered, 2 rejected, 4 not learnt (ask again under the same id), 5 "
            + "answered in"
            + " part, 6 refused, 7 failed and never ran, 8 failed and may have run, 9 forgotten, 10 unknown.";

    /** Asks a query. */
    @Command(name = "ask", mixinStandardHelpOptions = true, footer = CODES,
            description = "Ask a query; retries and resumes by itself until its outcome is learnt.")
    static final class AskCommand extends Common implements java.util.concurrent.Callable<Integer> {
        @Option(names = "--id", paramLabel = "ID", description = "The query's id; else a new one is drawn and told.")
        private String id;

        @Option(names = "--class", required = true, paramLabel = "CLASS", description = "The query's class.")
        private String queryClass;

        @Option(names = "--deadline", defaultValue = "4000", paramLabel = "MS",
                description = "Milliseconds that it may take (default ${DEFAULT-VALUE}).")
        private long deadline;

        @Option(names = "--shards", required = true, split = ",", paramLabel = "SHARD",
                description = "The shards it needs.")
        private List<Integer> shards;

        @Parameters(paramLabel = "TEXT", description = "What each part has to carry.")
        private String text;

        @Override
        public Integer call() throws InterruptedException, IOException {
            var body = new StringBuilder("{\"class\":");
            Json.quote(body, queryClass);
            body.append(",\"deadline_ms\":").append(deadline).append(",\"shards\":[");
            for (int i = 0; i < shards.size(); i++) {
                body.append(i == 0 ? "" : ",").append("{\"shard\":").append(shards.get(i)).append(",\"weight\":")
                        .append(1.0 / shards.size()).append('}');
            }
            body.append("],\"q\":");
            Json.quote(body, text);
            String asked = id != null ? id : Generators.timeBasedEpochGenerator().generate().toString();
            System.err.println(asked + ": asking");
            return learn(asked, body.append('}').toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Asks what became of one. */
    @Command(name = "outcome", mixinStandardHelpOptions = true, footer = CODES,
            description = "Ask what became of a query.")
    static final class OutcomeCommand extends Common implements java.util.concurrent.Callable<Integer> {
        @Parameters(paramLabel = "ID", description = "The query's id.")
        private String id;

        @Override
        public Integer call() throws InterruptedException, IOException {
            return learn(id, null);
        }
    }
}
