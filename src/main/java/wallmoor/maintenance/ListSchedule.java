package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.ExistingOutage;
import wallmoor.maintenance.SchedulingProblem.Job;
import wallmoor.maintenance.SchedulingResult.OutageSlot;

/**
 * The schedule that results from an order of jobs (list scheduling). Each job starts as soon as the {@link
 * AdmissionQueue}, which also begins the requests at run time, admits it; all outages last as long as estimated.
 */
final class ListSchedule {
    /** The end of an outage, in milliseconds since 1970. */
    private record OutageEnd(long at, int machineIndex, String machine) {}

    private final SchedulingProblem problem;
    private final Predicate<MaintenanceConstraint> enforced;
    private final boolean windowsEnforced;
    private final OutageLedger ledger;
    private final PriorityQueue<OutageEnd> running = byTime();
    private final Map<String, Long> doneAt = new HashMap<>();
    private final Map<Job, List<String>> predecessors = new HashMap<>();
    private final List<OutageSlot> slots = new ArrayList<>();
    private final List<Job> missedJobs = new ArrayList<>();
    private long endsAt;

    /**
     * Computes the schedule.
     *
     * @param order    the jobs by priority
     * @param enforced accepts the constraints to enforce
     */
    ListSchedule(SchedulingProblem problem, List<Job> order, Predicate<MaintenanceConstraint> enforced) {
        this.problem = problem;
        this.enforced = enforced;
        this.windowsEnforced = enforced.test(MaintenanceConstraint.windows());
        this.ledger = new OutageLedger(problem.fleet, problem.budgets, enforced);
        this.endsAt = problem.now;
        for (ExistingOutage outage : problem.outages) {
            ledger.takeOut(outage.machineIndex(), outage.capacityShare());
            if (outage.until() != SchedulingProblem.NEVER) {
                running.add(new OutageEnd(outage.until(), outage.machineIndex(), outage.machine()));
            }
        }
        order.forEach(job -> predecessors.put(job, problem.predecessors(job, enforced)));
        run(order);
    }

    private static PriorityQueue<OutageEnd> byTime() {
        return new PriorityQueue<>(Comparator.comparingLong(OutageEnd::at));
    }

    /** Returns whether every job starts and meets its deadline. */
    boolean isComplete() {
        return missedJobs.isEmpty();
    }

    /** Returns the jobs that never start or miss their deadline. */
    List<Job> missedJobs() {
        return missedJobs;
    }

    /** Returns when the last job is done, in milliseconds since 1970. */
    long endsAt() {
        return endsAt;
    }

    /** Advances from event to event: the end of an outage or the opening of a window. */
    private void run(List<Job> order) {
        List<Job> waiting = new ArrayList<>(order);
        long time = problem.now;
        while (true) {
            endOutages(time);
            List<Job> remaining = new ArrayList<>();
            long windowOpens = startJobs(time, waiting, remaining);
            waiting = remaining;
            long nextEvent = Math.min(windowOpens, running.isEmpty() ? SchedulingProblem.NEVER : running.peek().at());
            if (waiting.isEmpty() || nextEvent == SchedulingProblem.NEVER) {
                missedJobs.addAll(waiting);
                return;
            }
            time = nextEvent;
        }
    }

    private void endOutages(long time) {
        while (!running.isEmpty() && running.peek().at() <= time) {
            OutageEnd end = running.poll();
            ledger.putBack(end.machineIndex());
            doneAt.put(end.machine(), end.at());
        }
    }

    /**
     * Starts the jobs that may start now, and adds the others to {@code remaining}.
     *
     * @return when the next window of a remaining job opens, or {@link SchedulingProblem#NEVER}
     */
    private long startJobs(long time, List<Job> waiting, List<Job> remaining) {
        var queue = new AdmissionQueue(ledger);
        long windowOpens = SchedulingProblem.NEVER;
        for (Job job : waiting) {
            if (queue.isBlocked()) {
                remaining.add(job);
                continue;
            }
            long earliest = windowsEnforced ? problem.budgets.windows().nextStart(time, job.outageMillis()) : time;
            if (earliest > time) {
                windowOpens = Math.min(windowOpens, earliest);
            }
            if (earliest == time && mayStart(job, queue)) {
                start(job, time);
            } else {
                remaining.add(job);
            }
        }
        return windowOpens;
    }

    private boolean mayStart(Job job, AdmissionQueue queue) {
        return job.machineIndex() >= 0 && doneAt.keySet().containsAll(predecessors.get(job))
                && queue.tryAdmit(job.machineIndex(), problem.fleet.machines().get(job.machineIndex()));
    }

    private void start(Job job, long time) {
        MaintenanceRequest request = job.request();
        long done = time + job.outageMillis();
        long free = time + problem.budgets.partTimeoutMillis();
        slots.add(new OutageSlot(request, time, free, free + request.workMillis(), done, ledger.outCount(),
                ledger.capacityLeft(), List.of()));
        if (done > request.deadline() && enforced.test(MaintenanceConstraint.deadline(request))) {
            missedJobs.add(job);
        }
        endsAt = Math.max(endsAt, done);
        running.add(new OutageEnd(done, job.machineIndex(), request.machine()));
    }

    /** Returns the slots with the machines that must stay in service, computed from all blocks of the fleet. */
    List<OutageSlot> slotsWithSoleHolders() {
        OutageLedger complete = new OutageLedger(problem.completeFleet, problem.budgets, constraint -> true);
        PriorityQueue<OutageEnd> ends = byTime();
        for (ExistingOutage outage : problem.outages) {
            complete.takeOut(outage.machineIndex());
            if (outage.until() != SchedulingProblem.NEVER) {
                ends.add(new OutageEnd(outage.until(), outage.machineIndex(), outage.machine()));
            }
        }
        List<OutageSlot> result = new ArrayList<>();
        for (OutageSlot slot : slots) {
            while (!ends.isEmpty() && ends.peek().at() <= slot.starts()) {
                complete.putBack(ends.poll().machineIndex());
            }
            int index = complete.indexOf(slot.request().machine());
            complete.takeOut(index);
            ends.add(new OutageEnd(slot.done(), index, slot.request().machine()));
            result.add(slot.withMustStay(List.copyOf(new TreeSet<>(complete.soleHolders(index)))));
        }
        return result;
    }
}
