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

/** Carries moves out, in this process, until they are done or stopped. */
@Command(name = "start", mixinStandardHelpOptions = true,
        description = "Carry out the moves that a file's rules ask for, or go on with them after a crash.",
        footer = {
            "Ends when all is moved, or stopped. Exits 0 then, 1 where the plan can't be kept, 2 on a faulty file."})
final class RebalanceStartCommand implements Callable<Integer> {
    private static final int OWN_ERROR = 1;
    private static final double BYTES_PER_MB = 1e6;
    private static final int BYTES_PER_KB = 1_024;

    /** The file is well-formed, but does not fit the present plan or the gatherers. */
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
            return location.rules == null ? runInDirectory(input) : runByGatherers(input);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        } catch (UnsuitableFileException | IncompatibleTargetException | InvalidProblemException e) {
            System.err.println(file + ": " + e.getMessage());
            return Commands.USAGE;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return OWN_ERROR;
        }
    }

    private int runInDirectory(RebalancePlanInput input)
            throws PlanStoreException, UnsuitableFileException, IncompatibleTargetException, InterruptedException {
        try (var store = new DirectoryPlanStore(location.dir)) {
            store.acquireLock();
            RuleDocument last = store.read();
            MigrationPlan before = last == null ? null : PlanDocuments.decode(last);
            MigrationPlan wanted = wantedPlan(input, before, location.dir + " holds", "name another directory");
            if (!wanted.equals(before)) {
                store.propose(last == null ? 0 : last.version(), wanted.body(), wanted.fallback());
            }
            return run(input, store);
        }
    }

    private int runByGatherers(RebalancePlanInput input)
            throws PlanStoreException, UnsuitableFileException, IncompatibleTargetException, InterruptedException {
        PlanControlClient client = location.client("start");
        checkSettleTime(input.migration(), client.termMillis(PlanLocation.WAIT_MILLIS));
        boolean active = false;
        while (!active) {
            PlanVersion latest = client.latest(PlanLocation.WAIT_MILLIS);
            MigrationPlan before = latest == null ? null : latest.plan();
            MigrationPlan wanted = wantedPlan(input, before, "the gatherers agree on",
                    "add or take out blocks by rules propose plan first");
            String sizeFault = PlanControlClient.sizeFault(wanted);
            if (sizeFault != null) {
                throw new UnsuitableFileException(sizeFault);
            }
            active = wanted.equals(before) || client.proposeAndAwait(latest == null ? 0 : latest.number(), wanted,
                    PlanLocation.WAIT_MILLIS).isActive();
        }
        try (var store = new ConsensusPlanStore(client)) {
            return run(input, store);
        }
    }

    private static void checkSettleTime(MigrationConfig config, long termMillis) throws UnsuitableFileException {
        long leastMillis = termMillis + config.longestQueryMillis();
        if (config.settleMillis() < leastMillis) {
            throw new UnsuitableFileException("carry.settle is " + config.settleMillis()
                    + " ms, less than the gatherers' term and carry.longest_query together (" + termMillis + " and "
                    + config.longestQueryMillis() + " ms): a query could go to a copy that is dropped; set it to "
                    + leastMillis + "ms at least");
        }
    }

    /** The plan that the file asks for. What the present plan says of owners is newer than the file. */
    private static MigrationPlan wantedPlan(RebalancePlanInput input, MigrationPlan before, String holder,
            String remedy) throws UnsuitableFileException, IncompatibleTargetException {
        int maxConcurrent = input.migration().atOnce();
        MigrationPlan initial = MigrationPlan.initial(input.problem(), maxConcurrent);
        if (before == null) {
            return initial;
        }
        if (!before.owners().keySet().equals(initial.owners().keySet())) {
            throw new UnsuitableFileException(holder + " a plan of other blocks than this file; " + remedy);
        }
        PlacementTarget target = PlacementTarget.of(input.problem());
        boolean unchanged = !before.stopped() && target.equals(before.target())
                && before.maxConcurrent() == maxConcurrent;
        return unchanged ? before : before.retargeted(target, maxConcurrent);
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
