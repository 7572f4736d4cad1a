package wallmoor.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.control.ControlClient;
import wallmoor.migration.http.PlanControlClient;

/** Where the plan is kept: in a directory with one author, or by all gatherers. */
final class PlanLocation {
    /**
     * Who finds no leader is asked again, and others, for so long: a change of leader takes a term and some seconds.
     */
    static final long WAIT_MILLIS = 30_000;
    /** Answers of control ports, each version of the plan that is kept in them. */
    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    @Option(names = "--dir", paramLabel = "DIR", required = true,
            description = "Where the plan is kept, one for each fleet.")
    Path dir;

    @Option(names = "--rules", paramLabel = "ADDRESS:PORT", required = true, split = ",",
            description = "Control ports of gatherers (rules.control), by commas, tried in turn: they agree on the "
                    + "plan.")
    List<String> rules;

    /** How gatherers are asked, proposing under a name that no other process has. */
    PlanControlClient client(String command) throws ConfigException {
        String author = "rebalance " + command + " by " + System.getProperty("user.name", "unknown") + ' '
                + UUID.randomUUID().toString().substring(0, 8);
        return new PlanControlClient(rules.stream().map(a -> LaunchConfig.address("--rules", a)).toList(),
                (at, line, millis) -> ControlClient.ask(at, line, millis, MAX_RESPONSE_BYTES), author);
    }
}
