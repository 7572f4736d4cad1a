package wallmoor.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.control.ControlClient;
import wallmoor.migration.http.PlanControlClient;

/** Options for where the plan is stored: in a directory with one writer, or in the consensus of the gatherers. */
final class PlanLocation {
    /** How long a command waits for a leader of the gatherers: a change of leader takes a term and some seconds. */
    static final long LEADER_WAIT_MILLIS = 30_000;
    /** Limit of a control port's response, which may hold every retained version of the plan. */
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    /** Length, in characters, of the random part of an author's name. */
    private static final int UNIQUE_SUFFIX_LENGTH = 8;

    @Option(names = "--dir", paramLabel = "DIR", required = true,
            description = "The directory of the plan; each fleet needs its own.")
    Path directory;

    @Option(names = "--rules", paramLabel = "ADDRESS:PORT", required = true, split = ",",
            description = "Control ports (rules.control) of the gatherers that agree on the plan, separated by "
                    + "commas and tried in turn.")
    List<String> controlAddresses;

    /** Returns a client of the gatherers that proposes under an author name unique to this process. */
    PlanControlClient client(String command) throws ConfigException {
        String author = "rebalance " + command + " by " + System.getProperty("user.name", "unknown") + ' '
                + UUID.randomUUID().toString().substring(0, UNIQUE_SUFFIX_LENGTH);
        return new PlanControlClient(
                controlAddresses.stream().map(address -> LaunchConfig.address("--rules", address)).toList(),
                (address, request, timeoutMillis) -> ControlClient.ask(address, request, timeoutMillis,
                        MAX_RESPONSE_BYTES),
                author);
    }
}
