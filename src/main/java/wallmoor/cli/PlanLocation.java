package wallmoor.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.control.ControlClient;
import wallmoor.migration.http.PlanControlClient;

/** Options that say where the plan is kept: in a directory with one writer, or agreed on by all gatherers. */
final class PlanLocation {
    /** How long a command looks for a leader: a change of leader takes a term and some seconds. */
    static final long WAIT_MILLIS = 30_000;
    /** Bound of a control port's answer, which may hold every version of the plan that is kept. */
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    /** Characters of the random part of an author's name. */
    private static final int UNIQUE_LENGTH = 8;

    @Option(names = "--dir", paramLabel = "DIR", required = true,
            description = "Where the plan is kept, one for each fleet.")
    Path dir;

    @Option(names = "--rules", paramLabel = "ADDRESS:PORT", required = true, split = ",",
            description = "Control ports of gatherers (rules.control), by commas, tried in turn: they agree on the "
                    + "plan.")
    List<String> rules;

    /** A client of the gatherers, which proposes under a name that no other process has. */
    PlanControlClient client(String command) throws ConfigException {
        String author = "rebalance " + command + " by " + System.getProperty("user.name", "unknown") + ' '
                + UUID.randomUUID().toString().substring(0, UNIQUE_LENGTH);
        return new PlanControlClient(rules.stream().map(address -> LaunchConfig.address("--rules", address)).toList(),
                (address, line, millis) -> ControlClient.ask(address, line, millis, MAX_RESPONSE_BYTES), author);
    }
}
