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

/** Sends a query to the edge as a device does, over HTTP or CoAP. */
@Command(name = "device", mixinStandardHelpOptions = true, description = "Send a query to the edge as a device does.",
        subcommands = {DeviceCommand.AskCommand.class, DeviceCommand.OutcomeCommand.class})
final class DeviceCommand extends CommandGroup {
    DeviceCommand() {
        super("ask or outcome");
    }

    /** The options and the request loop that the two subcommands share. */
    abstract static class EdgeCommand {
        @Spec
        CommandSpec spec;

        @Option(names = "--edge", required = true, paramLabel = "URL",
                description = "http://HOST:PORT or coap://HOST:PORT.")
        URI edge;

        @Option(names = "--token-file", required = true, paramLabel = "FILE",
                description = "The file that holds the device's token.")
        Path tokenFile;

        @Option(names = "--patience", defaultValue = "60", paramLabel = "SECONDS",
                description = "How long to keep trying, in seconds (default ${DEFAULT-VALUE}).")
        long patienceSeconds;

        /**
         * Requests a query's outcome until it is known or the time is up, and prints it.
         *
         * @param query the query's JSON, or null to look up the outcome without sending the query
         * @return the exit code
         */
        final int awaitOutcome(String id, byte[] query) throws InterruptedException, IOException {
            long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            var backoff = new RetryBackoff(200, 5_000,
                    nowMillis + TimeUnit.SECONDS.toMillis(Math.max(1, patienceSeconds)));
            String deviceToken = java.nio.file.Files.readString(tokenFile).trim();
            Consumer<String> progress = line -> System.err.println(id + ": " + line);
            ClientResult result;
            if ("http".equals(edge.getScheme())) {
                result = new HttpDevice(edge, deviceToken, true, true, Duration.ofSeconds(20), progress)
                        .ask(id, query, backoff);
            } else if ("coap".equals(edge.getScheme())) {
                try (var device = new CoapDevice(edge, deviceToken, progress)) {
                    result = device.ask(id, query, backoff);
                }
            } else {
                throw new ParameterException(spec.commandLine(),
                        "--edge is " + edge + ", must be http://HOST:PORT or coap://HOST:PORT");
            }
            System.out.println(new String(result.body(), StandardCharsets.UTF_8));
            System.err.println(
                    id + ": " + result.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + ", after "
                            + result.attempts() + " requests");
            return result.kind().code();
        }
    }

    private static final String EXIT_CODES = "Exits 0 answered, 2 rejected, 4 outcome not received in time (ask again "
            + "with the same id), 5 answered in"
            + " part, 6 refused, 7 failed and never ran, 8 failed and may have run, 9 forgotten, 10 unknown.";

    /** Sends a query and waits for its outcome. */
    @Command(name = "ask", mixinStandardHelpOptions = true, footer = EXIT_CODES,
            description = "Send a query; retry and resume until its outcome is received.")
    static final class AskCommand extends EdgeCommand implements java.util.concurrent.Callable<Integer> {
        @Option(names = "--id", paramLabel = "ID",
                description = "The query's id (default: a new one, which is printed).")
        private String id;

        @Option(names = "--class", required = true, paramLabel = "CLASS", description = "The query's class.")
        private String queryClass;

        @Option(names = "--deadline", defaultValue = "4000", paramLabel = "MS",
                description = "The query's deadline in milliseconds (default ${DEFAULT-VALUE}).")
        private long deadlineMillis;

        @Option(names = "--shards", required = true, split = ",", paramLabel = "SHARD",
                description = "The shards that the query is sent to, separated by commas.")
        private List<Integer> shards;

        @Parameters(paramLabel = "TEXT", description = "The text that each part of the query carries.")
        private String partText;

        @Override
        public Integer call() throws InterruptedException, IOException {
            var body = new StringBuilder("{\"class\":");
            Json.quote(body, queryClass);
            body.append(",\"deadline_ms\":").append(deadlineMillis).append(",\"shards\":[");
            for (int i = 0; i < shards.size(); i++) {
                body.append(i == 0 ? "" : ",").append("{\"shard\":").append(shards.get(i)).append(",\"weight\":")
                        .append(1.0 / shards.size()).append('}');
            }
            body.append("],\"q\":");
            Json.quote(body, partText);
            String queryId = id != null ? id : Generators.timeBasedEpochGenerator().generate().toString();
            System.err.println(queryId + ": sending the query");
            return awaitOutcome(queryId, body.append('}').toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Looks up a query's outcome by its id, without sending the query. */
    @Command(name = "outcome", mixinStandardHelpOptions = true, footer = EXIT_CODES,
            description = "Look up the outcome of a query.")
    static final class OutcomeCommand extends EdgeCommand implements java.util.concurrent.Callable<Integer> {
        @Parameters(paramLabel = "ID", description = "The query's id.")
        private String id;

        @Override
        public Integer call() throws InterruptedException, IOException {
            return awaitOutcome(id, null);
        }
    }
}
