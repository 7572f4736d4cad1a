package wallmoor.cli;

import java.nio.file.Files;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import wallmoor.config.ConfigException;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.PlanControlClient;
import wallmoor.migration.http.PlanControlClient.PlanVersion;
import wallmoor.migration.http.PlanStoreException;

/**
 * Gives an operator's command to whoever carries migrations out. In a directory it is left for the present writer or
 * the next one; where gatherers agree on the plan, it is proposed as a version of it.
 */
abstract class RebalanceControlCommand implements Callable<Integer> {
    private static final int OWN_ERROR = 1;
    private static final long RETRY_MILLIS = 200;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation location;

    private final OperatorCommand command;

    RebalanceControlCommand(OperatorCommand command) {
        this.command = command;
    }

    /** Nothing more is begun or copied. */
    @Command(name = "pause", mixinStandardHelpOptions = true,
            description = "Begin no move and copy nothing; what is being handed over is ended.")
    static final class Pause extends RebalanceControlCommand {
        Pause() {
            super(OperatorCommand.PAUSE);
        }
    }

    /** Migrations go on. */
    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Go on after a pause.")
    static final class Resume extends RebalanceControlCommand {
        Resume() {
            super(OperatorCommand.RESUME);
        }
    }

    /** What can be rolled back is. */
    @Command(name = "stop", mixinStandardHelpOptions = true,
            description = "Take back what is not handed over, end the rest, and end; start begins anew.")
    static final class Stop extends RebalanceControlCommand {
        Stop() {
            super(OperatorCommand.STOP);
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (location.rules != null) {
            return proposeToGatherers();
        }
        if (!Files.exists(location.dir.resolve("plan"))) {
            System.err.println(location.dir + " holds no plan; rebalance start makes one");
            return Commands.USAGE;
        }
        try (var store = new DirectoryPlanStore(location.dir)) {
            store.setCommand(command);
            return 0;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return OWN_ERROR;
        }
    }

    private int proposeToGatherers() throws InterruptedException {
        try {
            PlanControlClient client = location.client(command.name().toLowerCase(Locale.ROOT));
            while (true) {
                PlanVersion latest = client.latest(PlanLocation.WAIT_MILLIS);
                if (latest == null) {
                    System.err.println("the gatherers agree on no plan; rebalance start makes one");
                    return Commands.USAGE;
                }
                if (isReflected(client, latest)) {
                    return 0;
                }
            }
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return OWN_ERROR;
        }
    }

    /**
     * Proposes the command on the latest version, active or not, so that no other author's step comes between. False
     * where it has to be tried again: another proposal won, or the version that reflects the command is not active yet.
     */
    private boolean isReflected(PlanControlClient client, PlanVersion latest)
            throws PlanStoreException, InterruptedException {
        MigrationPlan next = latest.plan().withCommand(command);
        if (!next.equals(latest.plan())) {
            return client.proposeAndAwait(latest.number(), next, PlanLocation.WAIT_MILLIS).isActive();
        }
        if (!latest.active()) {
            Thread.sleep(RETRY_MILLIS);
        }
        return latest.active();
    }
}
