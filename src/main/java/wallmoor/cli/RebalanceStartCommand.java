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
import wallmoor.migration.MigrationCoordinator;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.MigrationSettings;
import wallmoor.migration.PlacementTarget;
import wallmoor.migration.http.ConsensusPlanStore;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.MigrationRunner;
import wallmoor.migration.http.PlanControlClient;
import wallmoor.migration.http.PlanStore;
import wallmoor.migration.http.PlanStoreException;
import wallmoor.rules.RuleDocument;

/** Carries moves out, in this process, until they are done or stopped. */
@Command(name = "start", mixinStandardHelpOptions = true,
        description = "Carry out the moves that a file's rules ask for, or go on with them after a crash.",
        footer = {
            "Ends when all is moved, or stopped. Exits 0 then, 1 where the plan can't be kept, 2 on a faulty file."})
final class RebalanceStartCommand implements Callable<Integer> {
    private static final int OWN_ERROR = 1;
    private static final double BYTES_OF_MB = 1e6;

    @Parameters(paramLabel = "FILE", description = "Nodes with addresses, blocks and rules, in YAML.")
    private Path file;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation place;

    @Override
    public Integer call() throws InterruptedException {
        RebalanceFile.RebalancePlanInput whole;
        try {
            whole = RebalanceFile.readWhole(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        }
        try {
            return place.rules == null ? byDirectory(whole) : agreed(whole);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        } catch (IllegalArgumentException e) {
            System.err.println(file + ": " + e.getMessage());
            return Commands.USAGE;
        } catch (PlanStoreException e) {
            System.err.println(e.getMessage());
            return OWN_ERROR;
        }
    }

    private int byDirectory(RebalanceFile.RebalancePlanInput whole) throws PlanStoreException, InterruptedException {
        try (var plan = new DirectoryPlanStore(place.dir)) {
            plan.acquireLock();
            RuleDocument last = plan.read();
            MigrationPlan before = last == null ? null : MigrationRunner.decode(last);
            MigrationPlan now = begin(whole, before, place.dir + " holds", "name another directory");
            if (!now.equals(before)) {
                plan.propose(last == null ? 0 : last.version(), now.body(), now.fallback());
            }
            return carry(whole, plan);
        }
    }

    private int agreed(RebalanceFile.RebalancePlanInput whole) throws PlanStoreException, InterruptedException {
        PlanControlClient port = place.client("start");
        long term = port.termMillis(PlanLocation.WAIT_MILLIS);
        var c = whole.carrying();
        if (c.settleMillis() < term + c.longestQueryMillis()) {
            throw new IllegalArgumentException("carry.settle is " + c.settleMillis()
                    + " ms, less than the gatherers' term"
                    + " and carry.longest_query together (" + term + " and " + c.longestQueryMillis()
                    + " ms): a query could"
                    + " go to a copy that is dropped; set it to " + (term + c.longestQueryMillis()) + "ms at least");
        }
        while (true) {
            PlanControlClient.PlanVersion last = port.latest(PlanLocation.WAIT_MILLIS);
            MigrationPlan before = last == null ? null : last.plan();
            MigrationPlan now = begin(whole, before, "the gatherers agree on",
                    "add or take out blocks by rules propose plan first");
            if (PlanControlClient.sizeFault(now) != null) {
                throw new IllegalArgumentException(PlanControlClient.sizeFault(now));
            }
            if (now.equals(before)
                    || port.proposeAndAwait(last == null ? 0 : last.number(), now, PlanLocation.WAIT_MILLIS)
                            .isActive()) {
                break;
            }
        }
        try (var plan = new ConsensusPlanStore(port, RebalanceStartCommand::report)) {
            return carry(whole, plan);
        }
    }

    /** What the file asks for; what the plan says of owners is newer than the file. */
    private MigrationPlan begin(RebalanceFile.RebalancePlanInput whole, MigrationPlan before, String who,
            String otherwise) {
        int atOnce = whole.carrying().atOnce();
        MigrationPlan now = MigrationPlan.initial(whole.fleet(), atOnce);
        if (before == null) {
            return now;
        }
        if (!before.owners().keySet().equals(now.owners().keySet())) {
            throw new IllegalArgumentException(who + " a plan of other blocks than this file; " + otherwise);
        }
        return before.stopped() || !PlacementTarget.of(whole.fleet()).equals(before.target())
                || before.maxConcurrent() != atOnce
                        ? before.retargeted(PlacementTarget.of(whole.fleet()), atOnce) : before;
    }

    private static int carry(RebalanceFile.RebalancePlanInput whole, PlanStore plan)
            throws PlanStoreException, InterruptedException {
        var c = whole.carrying();
        var settings = new MigrationSettings((long) (c.mbPerSecond() * BYTES_OF_MB), c.chunkKb() * 1_024,
                micros(c.settleMillis()),
                micros(c.patienceMillis()), micros(c.againMillis()));
        System.out.println(
                new MigrationRunner(new MigrationCoordinator(settings), plan, c.addresses(),
                        RebalanceStartCommand::report).run()
                        .name()
                        .toLowerCase(Locale.ROOT));
        return 0;
    }

    private static void report(String line) {
        System.err.println(line);
    }

    private static long micros(long millis) {
        return TimeUnit.MILLISECONDS.toMicros(millis);
    }
}
