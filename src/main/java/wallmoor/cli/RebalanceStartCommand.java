package wallmoor.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.RebalanceFile;
import wallmoor.config.RebalanceFile.MigrationConfig;
import wallmoor.config.RebalanceFile.RebalancePlanInput;
import wallmoor.migration.IncompatibleTargetException;
import wallmoor.migration.MigrationCoordinator;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.MigrationSettings;
import wallmoor.migration.PlacementTarget;
import wallmoor.migration.http.ConsensusPlanStore;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.MigrationRunner;
import wallmoor.migration.http.PlanControlClient;
import wallmoor.migration.http.PlanControlClient.PlanVersion;
import wallmoor.migration.http.PlanDocuments;
import wallmoor.migration.http.PlanStore;
import wallmoor.migration.http.PlanStoreException;
import wallmoor.placement.InvalidProblemException;
import wallmoor.rules.RuleDocument;

/** Executes moves in this process until all are done or stopped. */
@Command(name = "start", mixinStandardHelpOptions = true,
        description = "Execute the moves that a file's rules require, or continue them after a crash.",
        footer = {
            "Runs until all moves are finished or stopped. Exits 0 then, 1 if the plan can't be stored, 2 on an",
            "invalid file."})
final class RebalanceStartCommand implements Callable<Integer> {
    private static final int PLAN_STORE_ERROR = 1;
    private static final double BYTES_PER_MB = 1e6;
    private static final int BYTES_PER_KB = 1_024;

    /** Thrown if the file is well-formed, but incompatible with the current plan or the gatherers' settings. */
    private static final class UnsuitableFileException extends Exception {
        private static final long serialVersionUID = 1L;

        UnsuitableFileException(String message) {
            super(message);
        }
    }

    @Parameters(paramLabel = "FILE", description = "Nodes with addresses, blocks and rules, in YAML.")
    private Path file;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation location;

    @Override
    public Integer call() throws InterruptedException {
        try {
            RebalancePlanInput input = RebalanceFile.readPlanInput(file);
            return location.controlAddresses == null ? runInDirectory(input) : runByGatherers(input);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE_ERROR;
        } catch (UnsuitableFileException | IncompatibleTargetException | InvalidProblemException e) {
            System.err.println(file + ": " + e.getMessage());
            return Commands.USAGE_ERROR;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return PLAN_STORE_ERROR;
        }
    }

    private int runInDirectory(RebalancePlanInput input)
            throws PlanStoreException, UnsuitableFileException, IncompatibleTargetException, InterruptedException {
        try (var store = new DirectoryPlanStore(location.directory)) {
            store.acquireLock();
            RuleDocument storedDocument = store.read();
            MigrationPlan current = storedDocument == null ? null : PlanDocuments.decode(storedDocument);
            MigrationPlan required = requiredPlan(input, current, location.directory + " contains",
                    "use another directory");
            if (!required.equals(current)) {
                store.propose(storedDocument == null ? 0 : storedDocument.version(), required.body(),
                        required.fallback());
            }
            return run(input, store);
        }
    }

    private int runByGatherers(RebalancePlanInput input)
            throws PlanStoreException, UnsuitableFileException, IncompatibleTargetException, InterruptedException {
        PlanControlClient client = location.client("start");
        checkSettleTime(input.migration(), client.termMillis(PlanLocation.LEADER_WAIT_MILLIS));
        boolean isActive = false;
        while (!isActive) {
            PlanVersion latest = client.latest(PlanLocation.LEADER_WAIT_MILLIS);
            MigrationPlan current = latest == null ? null : latest.plan();
            MigrationPlan required = requiredPlan(input, current, "the gatherers agree on",
                    "add or remove blocks with rules propose plan first");
            String sizeFault = PlanControlClient.sizeFault(required);
            if (sizeFault != null) {
                throw new UnsuitableFileException(sizeFault);
            }
            isActive = required.equals(current) || client.proposeAndAwait(latest == null ? 0 : latest.number(),
                    required, PlanLocation.LEADER_WAIT_MILLIS).isActive();
        }
        try (var store = new ConsensusPlanStore(client)) {
            return run(input, store);
        }
    }

    /** Checks that a replaced copy is kept until every query that may still use it has ended. */
    private static void checkSettleTime(MigrationConfig config, long termMillis) throws UnsuitableFileException {
        long minMillis = termMillis + config.longestQueryMillis();
        if (config.settleMillis() < minMillis) {
            throw new UnsuitableFileException("carry.settle is " + config.settleMillis()
                    + " ms, less than the sum of the gatherers' term and carry.longest_query (" + termMillis + " and "
                    + config.longestQueryMillis() + " ms): a query could reach a replica that is already"
                    + " dropped; set it to " + minMillis + "ms at least");
        }
    }

    /**
     * Returns the plan that the file requires. The owners of the current plan are newer than those of the file and
     * replace them.
     *
     * @param current the current plan, or null if there is none
     * @param holder  subject and verb of the error message if the plans have different blocks
     * @param remedy  what the operator can do then
     */
    private static MigrationPlan requiredPlan(RebalancePlanInput input, MigrationPlan current, String holder,
            String remedy) throws UnsuitableFileException, IncompatibleTargetException {
        int maxConcurrent = input.migration().atOnce();
        MigrationPlan initial = MigrationPlan.initial(input.problem(), maxConcurrent);
        if (current == null) {
            return initial;
        }
        if (!current.owners().keySet().equals(initial.owners().keySet())) {
            throw new UnsuitableFileException(
                    holder + " a plan whose blocks differ from those of this file; " + remedy);
        }
        PlacementTarget target = PlacementTarget.of(input.problem());
        boolean isUnchanged = !current.stopped() && target.equals(current.target())
                && current.maxConcurrent() == maxConcurrent;
        return isUnchanged ? current : current.retargeted(target, maxConcurrent);
    }

    private static int run(RebalancePlanInput input, PlanStore store) throws PlanStoreException, InterruptedException {
        MigrationConfig config = input.migration();
        var settings = new MigrationSettings((long) (config.mbPerSecond() * BYTES_PER_MB),
                config.chunkKb() * BYTES_PER_KB, micros(config.settleMillis()), micros(config.patienceMillis()),
                micros(config.retryMillis()));
        var runner = new MigrationRunner(new MigrationCoordinator(settings), store, config.addresses());
        System.out.println(runner.run().name().toLowerCase(Locale.ROOT));
        return 0;
    }

    private static long micros(long millis) {
        return TimeUnit.MILLISECONDS.toMicros(millis);
    }
}
