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
import wallmoor.moves.Goal;
import wallmoor.moves.Mover;
import wallmoor.moves.Settings;
import wallmoor.moves.State;
import wallmoor.moves.http.AgreedPlan;
import wallmoor.moves.http.Carrier;
import wallmoor.moves.http.Plan;
import wallmoor.moves.http.PlanDirectory;
import wallmoor.moves.http.PlanException;
import wallmoor.moves.http.RulesPort;
import wallmoor.versions.Document;

/** Carries moves out, in this process, until they are done or stopped. */
@Command(name = "start", mixinStandardHelpOptions = true,
        description = "Carry out the moves that a file's rules ask for, or go on with them after a crash.",
        footer = {
            "Ends when all is moved, or stopped. Exits 0 then, 1 where the plan can't be kept, 2 on a faulty file."})
final class RebalanceStart implements Callable<Integer> {
    private static final int OWN_ERROR = 1;
    private static final double BYTES_OF_MB = 1e6;

    @Parameters(paramLabel = "FILE", description = "Nodes with addresses, blocks and rules, in YAML.")
    private Path file;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanPlace place;

    @Override
    public Integer call() throws InterruptedException {
        RebalanceFile.Whole whole;
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
        } catch (PlanException e) {
            System.err.println(e.getMessage());
            return OWN_ERROR;
        }
    }

    private int byDirectory(RebalanceFile.Whole whole) throws PlanException, InterruptedException {
        try (var plan = new PlanDirectory(place.dir)) {
            plan.own();
            Document last = plan.read();
            State before = last == null ? null : Carrier.read(last);
            State now = begin(whole, before, place.dir + " holds", "name another directory");
            if (!now.equals(before)) {
                plan.propose(last == null ? 0 : last.number(), now.body(), now.fallback());
            }
            return carry(whole, plan);
        }
    }

    private int agreed(RebalanceFile.Whole whole) throws PlanException, InterruptedException {
        RulesPort port = place.port("start");
        long term = port.termMillis(PlanPlace.WAIT_MILLIS);
        var c = whole.carrying();
        if (c.settleMillis() < term + c.longestQueryMillis()) {
            throw new IllegalArgumentException("carry.settle is " + c.settleMillis()
                    + " ms, less than the gatherers' term"
                    + " and carry.longest_query together (" + term + " and " + c.longestQueryMillis()
                    + " ms): a query could"
                    + " go to a copy that is dropped; set it to " + (term + c.longestQueryMillis()) + "ms at least");
        }
        while (true) {
            RulesPort.Version last = port.head(PlanPlace.WAIT_MILLIS);
            State before = last == null ? null : last.state();
            State now = begin(whole, before, "the gatherers agree on",
                    "add or take out blocks by rules propose plan first");
            if (RulesPort.tooLarge(now) != null) {
                throw new IllegalArgumentException(RulesPort.tooLarge(now));
            }
            if (now.equals(before)
                    || port.settle(last == null ? 0 : last.number(), now, PlanPlace.WAIT_MILLIS).acts()) {
                break;
            }
        }
        try (var plan = new AgreedPlan(port, System.err::println)) {
            return carry(whole, plan);
        }
    }

    /** What the file asks for; what the plan says of owners is newer than the file. */
    private State begin(RebalanceFile.Whole whole, State before, String who, String otherwise) {
        int atOnce = whole.carrying().atOnce();
        State now = State.of(whole.fleet(), atOnce);
        if (before == null) {
            return now;
        }
        if (!before.owners().keySet().equals(now.owners().keySet())) {
            throw new IllegalArgumentException(who + " a plan of other blocks than this file; " + otherwise);
        }
        return before.stopped() || !Goal.of(whole.fleet()).equals(before.goal()) || before.atOnce() != atOnce
                ? before.aim(Goal.of(whole.fleet()), atOnce) : before;
    }

    private static int carry(RebalanceFile.Whole whole, Plan plan) throws PlanException, InterruptedException {
        var c = whole.carrying();
        var settings = new Settings((long) (c.mbPerSecond() * BYTES_OF_MB), c.chunkKb() * 1_024,
                micros(c.settleMillis()),
                micros(c.patienceMillis()), micros(c.againMillis()));
        System.out.println(new Carrier(new Mover(settings), plan, c.addresses(), System.err::println).run().name()
                .toLowerCase(Locale.ROOT));
        return 0;
    }

    private static long micros(long millis) {
        return TimeUnit.MILLISECONDS.toMicros(millis);
    }
}
