package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.ExistingOutage;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Decides whether a small set of jobs has a schedule, including schedules that delay a machine that could go earlier.
 * It searches all orders of the jobs with a deadline and their predecessors, and places each job at its earliest time
 * beside the jobs placed before. For any schedule, one of these orders ends every job at least as early.
 */
final class ExhaustiveScheduler {
    /** Maximum number of jobs for which all orders (at most 720) are tried. */
    static final int MAX_JOBS = 6;
    private static final long NEVER = -1;

    private record PlacedJob(Job job, long from, long to) {}

    private final SchedulingProblem problem;
    private final Predicate<MaintenanceConstraint> enforced;
    private final Map<Job, List<String>> predecessors = new HashMap<>();
    private final boolean windowsEnforced;
    private final OutageLedger ledger;
    /** Jobs with a deadline, and their predecessors. All other jobs can be placed after these. */
    private final Set<Job> constrainedJobs = new HashSet<>();

    private ExhaustiveScheduler(SchedulingProblem problem, Predicate<MaintenanceConstraint> enforced) {
        this.problem = problem;
        this.enforced = enforced;
        this.ledger = new OutageLedger(problem.fleet, problem.budgets, enforced);
        this.windowsEnforced = enforced.test(MaintenanceConstraint.windows());
        problem.jobs.forEach(job -> predecessors.put(job, problem.predecessors(job, enforced)));
        problem.jobs.stream().filter(job -> job.hasDeadline() && deadlineEnforced(job)).forEach(this::addConstrained);
    }

    /** Returns whether a schedule exists under the enforced constraints. */
    static boolean isFeasible(SchedulingProblem problem, Predicate<MaintenanceConstraint> enforced) {
        return new ExhaustiveScheduler(problem, enforced).placeConstrained(new ArrayList<>());
    }

    private boolean deadlineEnforced(Job job) {
        return enforced.test(MaintenanceConstraint.deadline(job.request()));
    }

    private void addConstrained(Job job) {
        if (constrainedJobs.add(job)) {
            problem.jobs.stream().filter(other -> predecessors.get(job).contains(other.request().machine()))
                    .forEach(this::addConstrained);
        }
    }

    /** Searches the orders of the constrained jobs that are not yet placed, depth first. */
    private boolean placeConstrained(List<PlacedJob> placed) {
        List<Job> unplaced = problem.jobs.stream()
                .filter(job -> !isPlaced(placed, job) && constrainedJobs.contains(job)).toList();
        if (unplaced.isEmpty()) {
            return placeOthers(new ArrayList<>(placed));
        }
        List<Job> ready = unplaced.stream().filter(job -> isReady(job, placed)).toList();
        for (Job job : ready) {
            if (earliest(job, placed) == NEVER) {
                return false; // placing more jobs cannot make room for it
            }
        }
        for (Job job : ready) {
            long at = earliest(job, placed);
            placed.add(new PlacedJob(job, at, at + job.outageMillis()));
            if (placeConstrained(placed)) {
                return true;
            }
            placed.remove(placed.size() - 1);
        }
        return false;
    }

    /** Places the jobs that are not constrained; their order does not matter. */
    private boolean placeOthers(List<PlacedJob> placed) {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (Job job : problem.jobs) {
                long at = isPlaced(placed, job) || !isReady(job, placed) ? NEVER : earliest(job, placed);
                if (at != NEVER) {
                    placed.add(new PlacedJob(job, at, at + job.outageMillis()));
                    progress = true;
                }
            }
        }
        return placed.size() == problem.jobs.size();
    }

    @SuppressWarnings("ReferenceEquality") // each job is one object of the problem
    private static boolean isPlaced(List<PlacedJob> placed, Job job) {
        return placed.stream().anyMatch(other -> other.job() == job);
    }

    /** Returns whether all predecessors of a job are placed. */
    private boolean isReady(Job job, List<PlacedJob> placed) {
        return problem.jobs.stream().allMatch(
                other -> !predecessors.get(job).contains(other.request().machine()) || isPlaced(placed, other));
    }

    /** Returns the earliest start of a job beside the placed jobs, or {@link #NEVER}. */
    private long earliest(Job job, List<PlacedJob> placed) {
        if (job.machineIndex() < 0) {
            return NEVER;
        }
        long from = problem.now;
        for (String machine : predecessors.get(job)) {
            long end = endOf(machine, placed);
            if (end == SchedulingProblem.NEVER) {
                return NEVER;
            }
            from = Math.max(from, end);
        }
        NavigableSet<Long> candidates = candidates(job, from, placed);
        if (candidates == null) {
            return NEVER;
        }
        for (long time : candidates.tailSet(from)) {
            if (time + job.outageMillis() > job.request().deadline() && deadlineEnforced(job)) {
                return NEVER;
            }
            boolean inWindow = !windowsEnforced
                    || problem.budgets.windows().nextStart(time, job.outageMillis()) == time;
            if (inWindow && fits(job, time, placed)) {
                return time;
            }
        }
        return NEVER;
    }

    private long endOf(String machine, List<PlacedJob> placed) {
        for (PlacedJob other : placed) {
            if (other.job().request().machine().equals(machine)) {
                return other.to();
            }
        }
        return problem.outages.stream().filter(outage -> outage.machine().equals(machine))
                .mapToLong(ExistingOutage::until).findFirst().orElse(SchedulingProblem.NEVER);
    }

    /** Returns the ends of outages and the next window openings after them; null if no window is long enough. */
    private NavigableSet<Long> candidates(Job job, long from, List<PlacedJob> placed) {
        var times = new TreeSet<Long>(List.of(from));
        placed.forEach(other -> times.add(other.to()));
        problem.outages.stream().filter(outage -> outage.until() != SchedulingProblem.NEVER)
                .forEach(outage -> times.add(outage.until()));
        if (windowsEnforced) {
            for (long time : new ArrayList<>(times.tailSet(from))) {
                long windowOpens = problem.budgets.windows().nextStart(time, job.outageMillis());
                if (windowOpens < 0) {
                    return null;
                }
                times.add(windowOpens);
            }
        }
        return times;
    }

    /** Returns whether a job fits from this time on, checked at its start and whenever another job starts meanwhile. */
    private boolean fits(Job job, long from, List<PlacedJob> placed) {
        long to = from + job.outageMillis();
        var times = new TreeSet<Long>(List.of(from));
        placed.stream().filter(other -> other.from() > from && other.from() < to)
                .forEach(other -> times.add(other.from()));
        for (long time : times) {
            if (!fitsAt(job, time, placed)) {
                return false;
            }
        }
        return true;
    }

    private boolean fitsAt(Job job, long time, List<PlacedJob> placed) {
        problem.outages.stream().filter(outage -> outage.until() > time)
                .forEach(outage -> ledger.takeOut(outage.machineIndex(), outage.capacityShare()));
        placed.stream().filter(other -> other.from() <= time && time < other.to())
                .forEach(other -> ledger.takeOut(other.job().machineIndex()));
        boolean fits = !ledger.isOut(job.machineIndex()) && ledger.fits(job.machineIndex());
        problem.outages.forEach(outage -> ledger.putBack(outage.machineIndex()));
        placed.forEach(other -> ledger.putBack(other.job().machineIndex()));
        return fits;
    }
}
