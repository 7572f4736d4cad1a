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
 * Decides whether few jobs can be scheduled at all, also by delaying a machine that might go. It searches every order
 * in which the jobs with a deadline (and their predecessors) are placed at their earliest time beside those placed
 * before: one of these orders is as early as any schedule, for every job.
 */
final class ExhaustiveScheduler {
    /** Most jobs whose orders (720) are all tried. */
    static final int MAX_JOBS = 6;
    private static final long NEVER = -1;

    private record PlacedJob(Job job, long from, long to) {}

    private final SchedulingProblem problem;
    private final Predicate<MaintenanceConstraint> enforced;
    private final Map<Job, List<String>> predecessors = new HashMap<>();
    private final boolean windowsEnforced;
    private final OutageLedger ledger;
    /** Jobs with a deadline, and all that come before them. The others can always be placed behind these. */
    private final Set<Job> constrainedJobs = new HashSet<>();

    private ExhaustiveScheduler(SchedulingProblem problem, Predicate<MaintenanceConstraint> enforced) {
        this.problem = problem;
        this.enforced = enforced;
        this.ledger = new OutageLedger(problem.fleet, problem.budgets, enforced);
        this.windowsEnforced = enforced.test(MaintenanceConstraint.windows());
        problem.jobs.forEach(job -> predecessors.put(job, problem.predecessors(job, enforced)));
        problem.jobs.stream().filter(job -> job.hasDeadline() && deadlineEnforced(job)).forEach(this::addConstrained);
    }

    /** Whether a schedule exists under the enforced constraints. */
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

    /** Depth-first search over the orders of the constrained jobs that are not placed. */
    private boolean placeConstrained(List<PlacedJob> placed) {
        List<Job> open = problem.jobs.stream().filter(job -> !isPlaced(placed, job) && constrainedJobs.contains(job))
                .toList();
        if (open.isEmpty()) {
            return placeOthers(new ArrayList<>(placed));
        }
        List<Job> ready = open.stream().filter(job -> isReady(job, placed)).toList();
        for (Job job : ready) {
            if (earliest(job, placed) == NEVER) {
                return false; // nor with more jobs beside it
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

    /** Places the jobs whose order does not matter. */
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

    @SuppressWarnings("ReferenceEquality") // the problem's own objects, each once
    private static boolean isPlaced(List<PlacedJob> placed, Job job) {
        return placed.stream().anyMatch(other -> other.job() == job);
    }

    /** Whether all jobs that come before it are placed. */
    private boolean isReady(Job job, List<PlacedJob> placed) {
        return problem.jobs.stream().allMatch(
                other -> !predecessors.get(job).contains(other.request().machine()) || isPlaced(placed, other));
    }

    /** The earliest time beside the jobs that are placed, or {@link #NEVER}. */
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

    /** When an outage ends, and when a window opens after that; null where no window is long enough. */
    private NavigableSet<Long> candidates(Job job, long from, List<PlacedJob> placed) {
        var times = new TreeSet<Long>(List.of(from));
        placed.forEach(other -> times.add(other.to()));
        problem.outages.stream().filter(outage -> outage.until() != SchedulingProblem.NEVER)
                .forEach(outage -> times.add(outage.until()));
        if (windowsEnforced) {
            for (long time : new ArrayList<>(times.tailSet(from))) {
                long opens = problem.budgets.windows().nextStart(time, job.outageMillis());
                if (opens < 0) {
                    return null;
                }
                times.add(opens);
            }
        }
        return times;
    }

    /** Whether a job can be out from this time on, looked at whenever another outage begins meanwhile. */
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
