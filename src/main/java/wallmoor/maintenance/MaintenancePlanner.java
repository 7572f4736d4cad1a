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
 * Schedules the requests that have not begun, beside the machines that are out of service. It uses list scheduling with
 * several priority rules, and for a small number of jobs all orders if the rules find no complete schedule. The result
 * is deterministic.
 */
public final class MaintenancePlanner {
    /** Number of jobs above which the first priority rule that gives a complete schedule is used. */
    private static final int MAX_JOBS_FOR_ALL_RULES = 2_000;

    private MaintenancePlanner() {}

    /**
     * Schedules requests of which none has begun.
     *
     * @param now milliseconds since 1970
     */
    public static SchedulingResult plan(long now, List<MaintenanceRequest> requests, FleetSnapshot fleet,
            Budgets budgets) {
        return planRemaining(now, requests.stream().map(r -> RequestStatus.submitted(r, now)).toList(), fleet, budgets);
    }

    /**
     * Schedules the requests that have not begun, beside those that have.
     *
     * @param all the requests in their order
     */
    static SchedulingResult planRemaining(long now, List<RequestStatus> all, FleetSnapshot fleet, Budgets budgets) {
        var problem = new SchedulingProblem(now, all, fleet, budgets, false);
        ListSchedule schedule = bestSchedule(problem);
        if (schedule.isComplete()) {
            return new SchedulingResult.Schedule(schedule.slotsWithSoleHolders(), schedule.endsAt(),
                    ScheduleLowerBound.of(problem));
        }
        var recovered = new SchedulingProblem(now, all, fleet, budgets, true);
        ListSchedule afterRecovery = bestSchedule(recovered);
        if (afterRecovery.isComplete()) {
            ScheduleConflictFinder.Conflict conflict = ScheduleConflictFinder.find(problem, schedule.missedJobs());
            return new SchedulingResult.WaitsForRecovery(conflict.constraints(), conflict.minimal());
        }
        ScheduleConflictFinder.Conflict conflict = ScheduleConflictFinder.find(recovered, afterRecovery.missedJobs());
        return new SchedulingResult.Infeasible(conflict.constraints(), conflict.minimal(), conflict.proven());
    }

    private static ListSchedule bestSchedule(SchedulingProblem problem) {
        ListSchedule best = null;
        for (List<Job> order : priorityOrders(problem)) {
            var schedule = new ListSchedule(problem, order, constraint -> true);
            if (best == null || isBetter(schedule, best)) {
                best = schedule;
            }
            if (best.isComplete() && problem.jobs.size() > MAX_JOBS_FOR_ALL_RULES) {
                break;
            }
        }
        if (!best.isComplete() && problem.jobs.size() <= ExhaustiveScheduler.MAX_JOBS
                && problem.jobs.stream().anyMatch(Job::hasDeadline)) {
            ListSchedule exhaustive = anyComplete(problem, new ArrayList<>(), new ArrayList<>(problem.jobs));
            best = exhaustive == null ? best : exhaustive;
        }
        return best;
    }

    private static boolean isBetter(ListSchedule schedule, ListSchedule best) {
        return schedule.missedJobs().size() < best.missedJobs().size()
                || (schedule.isComplete() && best.isComplete() && schedule.endsAt() < best.endsAt());
    }

    /** Returns the first complete schedule among all orders of the remaining jobs, or null if there is none. */
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

    /**
     * Returns the jobs in the orders of three priority rules: by latest start, then neighbours; by latest start, then
     * length; and by length, then latest start. Ties are broken by name.
     */
    private static List<List<Job>> priorityOrders(SchedulingProblem problem) {
        Map<String, Long> latestStarts = latestStarts(problem);
        Map<String, Integer> neighbours = neighbourCounts(problem);
        Comparator<Job> latestStart = Comparator.comparing(job -> latestStarts.get(job.request().machine()));
        Comparator<Job> name = Comparator.comparing(job -> job.request().machine());
        Comparator<Job> longestFirst = Comparator.comparing(job -> -job.outageMillis());
        Comparator<Job> mostNeighbours = Comparator
                .comparing(job -> -neighbours.getOrDefault(job.request().machine(), 0));
        return List.of(
                sorted(problem, latestStart.thenComparing(mostNeighbours).thenComparing(longestFirst)
                        .thenComparing(name)),
                sorted(problem, latestStart.thenComparing(longestFirst).thenComparing(mostNeighbours)
                        .thenComparing(name)),
                sorted(problem, longestFirst.thenComparing(latestStart).thenComparing(name)));
    }

    private static List<Job> sorted(SchedulingProblem problem, Comparator<Job> priority) {
        return problem.jobs.stream().sorted(priority).toList();
    }

    /**
     * Returns the latest start of each job by machine, such that the job meets its own deadline and its successors can
     * meet theirs.
     */
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
        // bounded: a cycle never settles, and is reported elsewhere
        for (int i = 0; changed && i <= problem.jobs.size(); i++) {
            changed = false;
            for (Job job : problem.jobs) {
                changed |= propagate(problem, job, latestStarts, jobByMachine);
            }
        }
        return latestStarts;
    }

    /**
     * Lowers the latest starts of a job's predecessors so that they are done before the job must start.
     *
     * @return whether a latest start changed
     */
    private static boolean propagate(SchedulingProblem problem, Job job, Map<String, Long> latestStarts,
            Map<String, Job> jobByMachine) {
        long latestStart = latestStarts.get(job.request().machine());
        if (latestStart == MaintenanceRequest.NO_DEADLINE) {
            return false;
        }
        boolean changed = false;
        for (String predecessor : problem.precedence.predecessors(job.request().machine())) {
            Job predecessorJob = jobByMachine.get(predecessor);
            if (predecessorJob != null && latestStarts.get(predecessor) > latestStart - predecessorJob.outageMillis()) {
                latestStarts.put(predecessor, latestStart - predecessorJob.outageMillis());
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns for each machine the number of holders, itself included, of its blocks. Counts only blocks that could
     * lose all holders at once.
     */
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
