package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Explains why there is no schedule: a minimal unsatisfiable subset of the constraints, by hitting sets (the smallest
 * one) or, where that takes too long, deletion-based.
 */
final class ScheduleConflictFinder {
    /** Most hitting sets that are tried; each costs up to 720 orders for each constraint. */
    private static final int MAX_HITTING_SETS = 100;
    /** Most jobs of a large problem that are looked at one by one. */
    private static final int MAX_SINGLE_JOBS = 200;

    /**
     * A conflict.
     *
     * @param minimal proven: no smaller set of constraints conflicts
     * @param proven  that no schedule exists; else none was found
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
     * The conflict of a problem without a schedule.
     *
     * @param missed the jobs that failed in the best attempt
     */
    static Conflict find(SchedulingProblem problem, List<Job> missed) {
        return new ScheduleConflictFinder(problem).find(missed);
    }

    private Conflict find(List<Job> missed) {
        Conflict best = null;
        for (Job job : missed.subList(0, Math.min(MAX_SINGLE_JOBS, missed.size()))) {
            best = Conflict.smaller(best, conflictOf(job));
            if (best != null && best.constraints().size() == 1) {
                return best;
            }
        }
        boolean few = problem.jobs.size() <= ExhaustiveScheduler.MAX_JOBS;
        if (best == null || few) {
            Conflict joint = shortestCycle();
            if (joint == null && few && !isFeasible(constraint -> true)) {
                joint = smallest();
            }
            best = Conflict.smaller(best, joint);
        }
        return best != null ? best : new Conflict(likelyConstraints(missed), false, false);
    }

    /** The conflict of a job alone; null where it has none. */
    private Conflict conflictOf(Job job) {
        boolean gone = job.machineIndex() < 0 || problem.outages.stream()
                .anyMatch(o -> o.machineIndex() == job.machineIndex() && o.until() == SchedulingProblem.NEVER);
        if (gone) {
            return new Conflict(
                    List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, job.request().machine())), true, true);
        }
        var alone = new ScheduleConflictFinder(problem.of(List.of(job)));
        return alone.isFeasible(constraint -> true) ? null : alone.smallest();
    }

    private boolean isFeasible(Predicate<MaintenanceConstraint> enforced) {
        return ExhaustiveScheduler.isFeasible(problem, enforced);
    }

    private boolean isFeasible(Set<MaintenanceConstraint> enforced) {
        return isFeasible(c -> enforced.contains(c) || c.rule() == MaintenanceRule.ITSELF);
    }

    /**
     * The smallest unsatisfiable subset, by hitting sets: of each satisfiable set, the conflict has one constraint that
     * the set leaves out. The smallest set that hits all these complements is tried until it is unsatisfiable.
     */
    private Conflict smallest() {
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

    /** Extends a satisfiable set to a maximal one, and returns the constraints that do not fit in. */
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

    /** Adds at most {@code more} elements to a set so that it hits each of the sets; false where that is impossible. */
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

    /** Deletion-based: drops each constraint without which the others are still unsatisfiable. */
    private List<MaintenanceConstraint> withoutSuperfluous(List<MaintenanceConstraint> constraints) {
        Set<MaintenanceConstraint> kept = new LinkedHashSet<>(constraints);
        for (MaintenanceConstraint constraint : constraints) {
            kept.remove(constraint);
            if (isFeasible(kept)) {
                kept.add(constraint);
            }
        }
        return List.copyOf(kept);
    }

    /** All constraints that can bear on the jobs. */
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

    /** The shortest cycle of precedences, or null. */
    private Conflict shortestCycle() {
        List<String> best = null;
        for (Job job : problem.jobs) {
            List<String> cycle = cycleThrough(job.request().machine());
            if (cycle != null && (best == null || cycle.size() < best.size())) {
                best = cycle;
            }
            if (problem.jobs.size() > MAX_SINGLE_JOBS && best != null) {
                break;
            }
        }
        if (best == null) {
            return null;
        }
        var constraints = new ArrayList<MaintenanceConstraint>();
        for (int i = 0; i < best.size(); i++) {
            constraints.add(MaintenanceConstraint.precedence(best.get((i + 1) % best.size()), best.get(i)));
        }
        return new Conflict(constraints, true, true);
    }

    /** The shortest cycle through a machine, from it back along its predecessors, by breadth-first search; or null. */
    private List<String> cycleThrough(String machine) {
        List<List<String>> paths = new ArrayList<>(List.of(List.of(machine)));
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < paths.size(); i++) {
            List<String> path = paths.get(i);
            for (String predecessor : problem.precedence.predecessors(path.get(path.size() - 1))) {
                if (predecessor.equals(machine)) {
                    return path;
                }
                if (seen.add(predecessor)) {
                    List<String> longer = new ArrayList<>(path);
                    longer.add(predecessor);
                    paths.add(longer);
                }
            }
        }
        return null;
    }

    /** Where nothing is proven: the deadlines that are missed, and the budgets that were kept meanwhile. */
    private List<MaintenanceConstraint> likelyConstraints(List<Job> missed) {
        var likely = new ArrayList<MaintenanceConstraint>();
        missed.stream().filter(Job::hasDeadline).forEach(j -> likely.add(MaintenanceConstraint.deadline(j.request())));
        Set<MaintenanceRule> budgets = Set.of(MaintenanceRule.AT_ONCE, MaintenanceRule.CENTRE,
                MaintenanceRule.CAPACITY, MaintenanceRule.HOURS);
        constraints().stream().filter(c -> budgets.contains(c.rule())).forEach(likely::add);
        return likely;
    }
}
