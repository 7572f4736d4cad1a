package wallmoor.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import wallmoor.config.ConfigException;
import wallmoor.migration.MigrationCoordinator;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.PlanControlClient;
import wallmoor.migration.http.PlanStoreException;

/**
 * Tells who carries out what an operator wishes; where nobody does, who begins to. Where gatherers agree on the plan
 * the wish is a version of it, at whichever of them it is said.
 */
abstract class RebalanceControlCommand implements Callable<Integer> {
    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation place;

    private static final long AGAIN_MILLIS = 200;

    private final String word;

    RebalanceControlCommand(String word) {
        this.word = word;
    }

    /** Nothing more is begun or copied. */
    @Command(name = "pause", mixinStandardHelpOptions = true,
            description = "Begin no move and copy nothing; what is being handed over is ended.")
    static final class Pause extends RebalanceControlCommand {
        Pause() {
            super("pause");
        }
    }

    /** It goes on. */
    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Go on after a pause.")
    static final class Resume extends RebalanceControlCommand {
        Resume() {
            super("resume");
        }
    }

    /** What may be taken back is. */
    @Command(name = "stop", mixinStandardHelpOptions = true,
            description = "Take back what is not handed over, end the rest, and end; start begins anew.")
    static final class Stop extends RebalanceControlCommand {
        Stop() {
            super("stop");
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (place.rules != null) {
            return agree();
        }
        Path dir = place.dir;
        if (!Files.exists(dir.resolve("plan"))) {
            System.err.println(dir + " holds no plan; rebalance start makes one");
            return Commands.USAGE;
        }
        try (var plan = new DirectoryPlanStore(dir)) {
            plan.wish(word);
            return 0;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    /**
     * It is proposed on the last version, whether that acts already or not: no step of who carries out comes before it.
     */
    private int agree() throws InterruptedException {
        try {
            PlanControlClient port = place.client(word);
            while (true) {
                PlanControlClient.PlanVersion last = port.latest(PlanLocation.WAIT_MILLIS);
                if (last == null) {
                    System.err.println("the gatherers agree on no plan; rebalance start makes one");
                    return Commands.USAGE;
                }
                MigrationPlan next = last.plan()
                        .withCommand(MigrationCoordinator.OperatorCommand.valueOf(word.toUpperCase(Locale.ROOT)));
                if (next.equals(last.plan()) && last.active()) {
                    return 0;
                }
                // what waits to act already says it: asked again until it acts
                if (next.equals(last.plan())) {
                    Thread.sleep(AGAIN_MILLIS);
                } else if (port.proposeAndAwait(last.number(), next, PlanLocation.WAIT_MILLIS).isActive()) {
                    return 0;
                }
            }
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
