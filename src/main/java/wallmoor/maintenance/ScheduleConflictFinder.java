package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Explains why there is no schedule by an unsatisfiable subset of the constraints: the smallest one, found by hitting
 * sets, or, if that takes too many steps, a minimal one found by deletion.
 */
final class ScheduleConflictFinder {
    /** Maximum number of hitting sets that are tried. Each can cost a search of 720 orders for each constraint. */
    private static final int MAX_HITTING_SETS = 100;
    /** Maximum number of jobs that are examined individually. */
    private static final int MAX_SINGLE_JOBS = 200;

    /**
     * A set of constraints that cannot be satisfied together.
     *
     * @param minimal whether it is proven that no smaller set of constraints conflicts
     * @param proven  whether it is proven that no schedule exists; otherwise none was found
     */
    record Conflict(List<MaintenanceConstraint> constraints, boolean minimal, boolean proven) {
        static Conflict smaller(Conflict a, Conflict b) {
            if (a == null || b == null) {
                return a == null ? b : a;
            }
            return b.constraints().size() < a.constraints().size() ? b : a;
        }
    }

    private final SchedulingProblem problem;

    private ScheduleConflictFinder(SchedulingProblem problem) {
        this.problem = problem;
    }

    /**
     * Returns the conflict of a problem without a schedule.
     *
     * @param missedJobs the jobs that failed in the best attempt
     */
    static Conflict find(SchedulingProblem problem, List<Job> missedJobs) {
        return new ScheduleConflictFinder(problem).find(missedJobs);
    }

    private Conflict find(List<Job> missedJobs) {
        Conflict best = null;
        for (Job job : missedJobs.subList(0, Math.min(MAX_SINGLE_JOBS, missedJobs.size()))) {
            best = Conflict.smaller(best, conflictOf(job));
            if (best != null && best.constraints().size() == 1) {
                return best;
            }
        }
        boolean isSmallProblem = problem.jobs.size() <= ExhaustiveScheduler.MAX_JOBS;
        if (best == null || isSmallProblem) {
            Conflict joint = shortestCycle();
            if (joint == null && isSmallProblem && !isFeasible(constraint -> true)) {
                joint = findSmallest();
            }
            best = Conflict.smaller(best, joint);
        }
        return best != null ? best : new Conflict(likelyConstraints(missedJobs), false, false);
    }

    /** Returns the conflict of a single job, or null if it can be scheduled alone. */
    private Conflict conflictOf(Job job) {
        boolean isLost = job.machineIndex() < 0 || problem.outages.stream()
                .anyMatch(o -> o.machineIndex() == job.machineIndex() && o.until() == SchedulingProblem.NEVER);
        if (isLost) {
            return new Conflict(
                    List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, job.request().machine())), true, true);
        }
        var alone = new ScheduleConflictFinder(problem.restrictedTo(List.of(job)));
        return alone.isFeasible(constraint -> true) ? null : alone.findSmallest();
    }

    private boolean isFeasible(Predicate<MaintenanceConstraint> enforced) {
        return ExhaustiveScheduler.isFeasible(problem, enforced);
    }

    private boolean isFeasible(Set<MaintenanceConstraint> enforced) {
        return isFeasible(c -> enforced.contains(c) || c.rule() == MaintenanceRule.ITSELF);
    }

    /**
     * Returns the smallest unsatisfiable subset, by hitting sets. Any conflict contains at least one constraint of the
     * complement of each satisfiable set. Each step tries a smallest set that hits all complements found so far, until
     * such a set is unsatisfiable.
     */
    private Conflict findSmallest() {
        List<MaintenanceConstraint> constraints = constraints();
        List<Set<MaintenanceConstraint>> complements = new ArrayList<>();
        for (int tried = 0; tried < MAX_HITTING_SETS; tried++) {
            Set<MaintenanceConstraint> hitting = new LinkedHashSet<>();
            for (int size = 0; !extendToHit(complements, hitting, size); size++) {
                hitting.clear();
            }
            if (!isFeasible(hitting)) {
                return new Conflict(List.copyOf(hitting), true, true);
            }
            complements.add(complementOfMaximal(hitting, constraints));
        }
        return new Conflict(withoutSuperfluous(constraints), false, true);
    }

    /** Extends a satisfiable set to a maximal one, and returns the constraints that cannot be added. */
    private Set<MaintenanceConstraint> complementOfMaximal(Set<MaintenanceConstraint> satisfiable,
            List<MaintenanceConstraint> constraints) {
        Set<MaintenanceConstraint> complement = new LinkedHashSet<>();
        for (MaintenanceConstraint constraint : constraints) {
            if (satisfiable.add(constraint) && !isFeasible(satisfiable)) {
                satisfiable.remove(constraint);
                complement.add(constraint);
            }
        }
        return complement;
    }

    /**
     * Adds at most {@code more} elements to {@code hitting} so that it intersects each of the sets.
     *
     * @return false if that is impossible
     */
    private static boolean extendToHit(List<Set<MaintenanceConstraint>> sets, Set<MaintenanceConstraint> hitting,
            int more) {
        for (Set<MaintenanceConstraint> set : sets) {
            if (set.stream().noneMatch(hitting::contains)) {
                return more > 0 && extendByOne(sets, hitting, set, more);
            }
        }
        return true;
    }

    private static boolean extendByOne(List<Set<MaintenanceConstraint>> sets, Set<MaintenanceConstraint> hitting,
            Set<MaintenanceConstraint> choices, int more) {
        for (MaintenanceConstraint choice : choices) {
            hitting.add(choice);
            if (extendToHit(sets, hitting, more - 1)) {
                return true;
            }
            hitting.remove(choice);
        }
        return false;
    }

    /** Removes each constraint without which the others are still unsatisfiable. */
    private List<MaintenanceConstraint> withoutSuperfluous(List<MaintenanceConstraint> constraints) {
        Set<MaintenanceConstraint> remaining = new LinkedHashSet<>(constraints);
        for (MaintenanceConstraint constraint : constraints) {
            remaining.remove(constraint);
            if (isFeasible(remaining)) {
                remaining.add(constraint);
            }
        }
        return List.copyOf(remaining);
    }

    /** Returns all constraints that can affect the jobs. */
    private List<MaintenanceConstraint> constraints() {
        Set<MaintenanceConstraint> all = new LinkedHashSet<>();
        Set<List<String>> seenHolders = new HashSet<>();
        for (BlockHolders block : problem.fleet.blocks()) {
            if (seenHolders.add(block.holders())) { // blocks with the same holders are one constraint
                all.add(OutageLedger.cover(block));
            }
        }
        all.add(MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"));
        problem.budgets.maxOutByCentre().keySet()
                .forEach(c -> all.add(MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres." + c)));
        all.add(MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"));
        all.add(MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept"));
        all.add(MaintenanceConstraint.of(MaintenanceRule.VOTERS));
        for (Job job : problem.jobs) {
            if (job.hasDeadline()) {
                all.add(MaintenanceConstraint.deadline(job.request()));
            }
            problem.predecessors(job)
                    .forEach(m -> all.add(MaintenanceConstraint.precedence(m, job.request().machine())));
        }
        if (!problem.budgets.windows().windows().isEmpty()) {
            all.add(MaintenanceConstraint.windows());
        }
        return List.copyOf(all);
    }

    /** Returns the conflict of the shortest cycle of precedences, or null if there is none. */
    private Conflict shortestCycle() {
        List<String> best = null;
        for (Job job : problem.jobs) {
            List<String> cycle = problem.precedence.cycleThrough(job.request().machine());
            if (!cycle.isEmpty() && (best == null || cycle.size() < best.size())) {
                best = cycle;
            }
            if (problem.jobs.size() > MAX_SINGLE_JOBS && best != null) {
                break;
            }
        }
        if (best == null) {
            return null;
        }
        return new Conflict(PrecedenceGraph.constraints(best), true, true);
    }

    /** Returns the missed deadlines and the budgets, as the likely conflict where nothing is proven. */
    private List<MaintenanceConstraint> likelyConstraints(List<Job> missedJobs) {
        var likely = new ArrayList<MaintenanceConstraint>();
        missedJobs.stream().filter(Job::hasDeadline)
                .forEach(j -> likely.add(MaintenanceConstraint.deadline(j.request())));
        Set<MaintenanceRule> budgetRules = Set.of(MaintenanceRule.AT_ONCE, MaintenanceRule.CENTRE,
                MaintenanceRule.CAPACITY, MaintenanceRule.HOURS);
        constraints().stream().filter(c -> budgetRules.contains(c.rule())).forEach(likely::add);
        return likely;
    }
}
