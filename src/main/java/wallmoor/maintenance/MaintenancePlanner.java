package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Schedules all requests that have not begun, beside what is out: list scheduling by priority rules, for few jobs by
 * all orders. Deterministic.
 */
public final class MaintenancePlanner {
    /** With more jobs, the first priority rule that gives a complete schedule is taken. */
    private static final int MANY_JOBS = 2_000;

    private MaintenancePlanner() {}

    /** Schedules requests of which none has begun. */
    public static SchedulingResult plan(long now, List<MaintenanceRequest> requests, FleetSnapshot fleet,
            Budgets budgets) {
        return among(now, requests.stream().map(r -> RequestStatus.asked(r, now)).toList(), fleet, budgets);
    }

    /** Schedules those of the requests that have not begun, beside the others. */
    static SchedulingResult among(long now, List<RequestStatus> all, FleetSnapshot fleet, Budgets budgets) {
        var problem = new SchedulingProblem(now, all, fleet, budgets, false);
        ListSchedule schedule = bestSchedule(problem);
        if (schedule.isComplete()) {
            return new SchedulingResult.Schedule(schedule.slotsWithSoleHolders(), schedule.endsAt(),
                    ScheduleLowerBound.of(problem));
        }
        var recovered = new SchedulingProblem(now, all, fleet, budgets, true);
        ListSchedule afterRecovery = bestSchedule(recovered);
        if (afterRecovery.isComplete()) {
            ScheduleConflictFinder.Conflict conflict = ScheduleConflictFinder.find(problem, schedule.missed());
            return new SchedulingResult.WaitsForRecovery(conflict.constraints(), conflict.minimal());
        }
        ScheduleConflictFinder.Conflict conflict = ScheduleConflictFinder.find(recovered, afterRecovery.missed());
        return new SchedulingResult.Infeasible(conflict.constraints(), conflict.minimal(), conflict.proven());
    }

    private static ListSchedule bestSchedule(SchedulingProblem problem) {
        ListSchedule best = null;
        for (List<Job> order : priorityOrders(problem)) {
            var schedule = new ListSchedule(problem, order, constraint -> true);
            if (best == null || isBetter(schedule, best)) {
                best = schedule;
            }
            if (best.isComplete() && problem.jobs.size() > MANY_JOBS) {
                break;
            }
        }
        if (!best.isComplete() && problem.jobs.size() <= ExhaustiveScheduler.MAX_JOBS
                && problem.jobs.stream().anyMatch(Job::hasDeadline)) {
            ListSchedule found = anyComplete(problem, new ArrayList<>(), new ArrayList<>(problem.jobs));
            best = found == null ? best : found;
        }
        return best;
    }

    private static boolean isBetter(ListSchedule schedule, ListSchedule best) {
        return schedule.missed().size() < best.missed().size()
                || (schedule.isComplete() && best.isComplete() && schedule.endsAt() < best.endsAt());
    }

    /** The first complete schedule of all orders of the remaining jobs; null where there is none. */
    private static ListSchedule anyComplete(SchedulingProblem problem, List<Job> order, List<Job> remaining) {
        if (remaining.isEmpty()) {
            var schedule = new ListSchedule(problem, order, constraint -> true);
            return schedule.isComplete() ? schedule : null;
        }
        for (Job job : List.copyOf(remaining)) {
            order.add(job);
            remaining.remove(job);
            ListSchedule schedule = anyComplete(problem, order, remaining);
            order.remove(order.size() - 1);
            remaining.add(job);
            if (schedule != null) {
                return schedule;
            }
        }
        return null;
    }

    /** By latest start, then by shared blocks or by length; and by length first. Ties are broken by name. */
    private static List<List<Job>> priorityOrders(SchedulingProblem problem) {
        Map<String, Long> latestStarts = latestStarts(problem);
        Map<String, Integer> neighbours = neighbourCounts(problem);
        Comparator<Job> latestStart = Comparator.comparing(job -> latestStarts.get(job.request().machine()));
        Comparator<Job> name = Comparator.comparing(job -> job.request().machine());
        Comparator<Job> longest = Comparator.comparing(job -> -job.outageMillis());
        Comparator<Job> crowded = Comparator.comparing(job -> -neighbours.getOrDefault(job.request().machine(), 0));
        return List.of(
                sorted(problem, latestStart.thenComparing(crowded).thenComparing(longest).thenComparing(name)),
                sorted(problem, latestStart.thenComparing(longest).thenComparing(crowded).thenComparing(name)),
                sorted(problem, longest.thenComparing(latestStart).thenComparing(name)));
    }

    private static List<Job> sorted(SchedulingProblem problem, Comparator<Job> priority) {
        return problem.jobs.stream().sorted(priority).toList();
    }

    /** By machine, when its job must start at the latest: for its own deadline, and for those of its successors. */
    private static Map<String, Long> latestStarts(SchedulingProblem problem) {
        Map<String, Long> latestStarts = new HashMap<>();
        Map<String, Job> jobByMachine = new HashMap<>();
        problem.jobs.forEach(job -> {
            MaintenanceRequest request = job.request();
            jobByMachine.put(request.machine(), job);
            latestStarts.put(request.machine(), job.hasDeadline() ? request.deadline() - job.outageMillis()
                    : MaintenanceRequest.NO_DEADLINE);
        });
        boolean changed = true;
        for (int i = 0; changed && i <= problem.jobs.size(); i++) { // a cycle would go on; it is reported elsewhere
            changed = false;
            for (Job job : problem.jobs) {
                changed |= propagate(problem, job, latestStarts, jobByMachine);
            }
        }
        return latestStarts;
    }

    /** Makes a job's predecessors start in time for it; whether that changed one. */
    private static boolean propagate(SchedulingProblem problem, Job job, Map<String, Long> latestStarts,
            Map<String, Job> jobByMachine) {
        long own = latestStarts.get(job.request().machine());
        if (own == MaintenanceRequest.NO_DEADLINE) {
            return false;
        }
        boolean changed = false;
        for (String predecessor : problem.precedence.predecessors(job.request().machine())) {
            Job before = jobByMachine.get(predecessor);
            if (before != null && latestStarts.get(predecessor) > own - before.outageMillis()) {
                latestStarts.put(predecessor, own - before.outageMillis());
                changed = true;
            }
        }
        return changed;
    }

    /** By machine, how many machines share a block with it of which not all may go at once. */
    private static Map<String, Integer> neighbourCounts(SchedulingProblem problem) {
        Map<String, Set<String>> neighbours = new HashMap<>();
        for (BlockHolders block : problem.fleet.blocks()) {
            for (String machine : block.holders()) {
                neighbours.computeIfAbsent(machine, k -> new HashSet<>()).addAll(block.holders());
            }
        }
        Map<String, Integer> counts = new HashMap<>();
        neighbours.forEach((machine, others) -> counts.put(machine, others.size()));
        return counts;
    }
}
