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
 * Sends an operator's command to the process that executes the migrations. With a plan in a directory, the command is
 * stored there for the current or next writer; with a plan that the gatherers agree on, it is proposed as a new version
 * of the plan.
 */
abstract class RebalanceControlCommand implements Callable<Integer> {
    private static final int PLAN_STORE_ERROR = 1;
    private static final long RETRY_MILLIS = 200;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation location;

    private final OperatorCommand command;

    RebalanceControlCommand(OperatorCommand command) {
        this.command = command;
    }

    /** Pauses migrations: no move is started and nothing is copied. */
    @Command(name = "pause", mixinStandardHelpOptions = true,
            description = "Start no move and copy nothing; hand-overs in progress are completed.")
    static final class Pause extends RebalanceControlCommand {
        Pause() {
            super(OperatorCommand.PAUSE);
        }
    }

    /** Resumes paused migrations. */
    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Resume migrations after a pause.")
    static final class Resume extends RebalanceControlCommand {
        Resume() {
            super(OperatorCommand.RESUME);
        }
    }

    /** Stops migrations and rolls back those that can be. */
    @Command(name = "stop", mixinStandardHelpOptions = true,
            description = "Roll back the moves not yet handed over, complete the others, and stop; start begins again.")
    static final class Stop extends RebalanceControlCommand {
        Stop() {
            super(OperatorCommand.STOP);
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (location.controlAddresses != null) {
            return proposeToGatherers();
        }
        if (!Files.exists(location.directory.resolve("plan"))) {
            System.err.println(location.directory + " contains no plan; create one with rebalance start");
            return Commands.USAGE_ERROR;
        }
        try (var store = new DirectoryPlanStore(location.directory)) {
            store.setCommand(command);
            return 0;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return PLAN_STORE_ERROR;
        }
    }

    private int proposeToGatherers() throws InterruptedException {
        try {
            PlanControlClient client = location.client(command.name().toLowerCase(Locale.ROOT));
            while (true) {
                PlanVersion latest = client.latest(PlanLocation.LEADER_WAIT_MILLIS);
                if (latest == null) {
                    System.err.println("the gatherers have no plan; create one with rebalance start");
                    return Commands.USAGE_ERROR;
                }
                if (applyCommand(client, latest)) {
                    return 0;
                }
            }
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE_ERROR;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return PLAN_STORE_ERROR;
        }
    }

    /**
     * Proposes the command on top of the latest version, active or not, so that no other author's step comes between.
     *
     * @return false if it must be tried again: another proposal won, or the version with the command is not active yet
     */
    private boolean applyCommand(PlanControlClient client, PlanVersion latest)
            throws PlanStoreException, InterruptedException {
        MigrationPlan next = latest.plan().withCommand(command);
        if (!next.equals(latest.plan())) {
            return client.proposeAndAwait(latest.number(), next, PlanLocation.LEADER_WAIT_MILLIS).isActive();
        }
        if (!latest.active()) {
            Thread.sleep(RETRY_MILLIS);
        }
        return latest.active();
    }
}
