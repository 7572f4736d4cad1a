package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.Machine.MachinePhase;

/** A scheduling problem: the jobs to schedule, and the existing outages with their expected ends. */
final class SchedulingProblem {
    /** The time of an event that never happens. */
    static final long NEVER = Long.MAX_VALUE;
    /** Index of a machine that is not in the fleet. */
    static final int UNKNOWN_MACHINE = -1;

    /**
     * A request that has not begun.
     *
     * @param machineIndex index of the machine in the fleet, or {@link #UNKNOWN_MACHINE}
     */
    record Job(MaintenanceRequest request, int machineIndex, long outageMillis) {
        boolean hasDeadline() {
            return request.deadline() != MaintenanceRequest.NO_DEADLINE;
        }
    }

    /**
     * A machine that is out of service, or in slow start, apart from the jobs to schedule.
     *
     * @param capacityShare share of its capacity that it provides, in millionths
     * @param until         when it is back in service, in milliseconds since 1970, or {@link #NEVER}
     */
    record ExistingOutage(String machine, int machineIndex, long capacityShare, long until) {}

    final long now;
    /** The fleet with only the blocks that can constrain a job. */
    final FleetSnapshot fleet;
    final FleetSnapshot completeFleet;
    final Budgets budgets;
    final PrecedenceGraph precedence;
    final List<Job> jobs = new ArrayList<>();
    final List<ExistingOutage> outages = new ArrayList<>();
    private final Map<String, Job> jobByMachine = new HashMap<>();
    private final Set<String> doneMachines = new HashSet<>();

    /**
     * Creates the problem of scheduling the requests that have not begun.
     *
     * @param statuses  all requests, in their order
     * @param recovered whether machines with an unplanned outage, or overdue, are assumed to be back
     */
    SchedulingProblem(long now, List<RequestStatus> statuses, FleetSnapshot fleet, Budgets budgets,
            boolean recovered) {
        this.now = now;
        this.budgets = budgets;
        this.precedence = PrecedenceGraph.of(statuses);
        Map<String, Integer> indexById = fleet.indexById();
        Set<String> begun = new HashSet<>();
        for (RequestStatus status : statuses) {
            String id = status.request().machine();
            int index = indexById.getOrDefault(id, UNKNOWN_MACHINE);
            if (status.stage().isOut()) {
                begun.add(id);
                if (index != UNKNOWN_MACHINE) {
                    outages.add(new ExistingOutage(id, index, 0,
                            returnTime(status, fleet.machines().get(index), recovered)));
                }
            } else if (!status.stage().isFinal()) {
                Job job = new Job(status.request(), index, budgets.outageMillis(status.request()));
                jobs.add(job);
                jobByMachine.put(id, job);
            } else if (status.stage() == MaintenanceStage.DONE) {
                doneMachines.add(id);
            }
        }
        for (Machine machine : fleet.machines()) {
            if (!begun.contains(machine.id())) {
                addUnplannedOutage(machine, indexById.get(machine.id()), recovered);
            }
        }
        this.completeFleet = fleet;
        this.fleet = withConstrainingBlocks(fleet);
    }

    private SchedulingProblem(SchedulingProblem original, List<Job> selectedJobs) {
        now = original.now;
        budgets = original.budgets;
        precedence = original.precedence;
        outages.addAll(original.outages);
        jobs.addAll(selectedJobs);
        selectedJobs.forEach(job -> jobByMachine.put(job.request().machine(), job));
        doneMachines.addAll(original.doneMachines);
        completeFleet = original.completeFleet;
        fleet = withConstrainingBlocks(original.fleet);
    }

    /** Returns this problem restricted to some of its jobs. Precedences of the other jobs are ignored. */
    SchedulingProblem restrictedTo(List<Job> selectedJobs) {
        return new SchedulingProblem(this, selectedJobs);
    }

    /** Adds the outage of a machine that is in slow start, or has an unplanned outage. */
    private void addUnplannedOutage(Machine machine, int index, boolean recovered) {
        boolean serving = machine.phase() == MachinePhase.SERVING;
        boolean slowStart = serving && machine.isNode() && machine.servingMillis() < budgets.slowStartMillis();
        if (slowStart || (!serving && !recovered)) {
            long until = slowStart ? now + budgets.slowStartMillis() - machine.servingMillis() : NEVER;
            outages.add(new ExistingOutage(machine.id(), index, budgets.capacityShare(machine), until));
        }
    }

    /** Returns the machines whose requests must be done before a job starts. */
    List<String> predecessors(Job job) {
        List<String> failed = precedence.failed(job.request());
        return precedence.predecessors(job.request().machine()).stream()
                .filter(m -> jobByMachine.containsKey(m) || isOut(m) || failed.contains(m))
                .filter(m -> !doneMachines.contains(m) || jobByMachine.containsKey(m)).toList();
    }

    /** Returns the predecessors of a job whose precedence is enforced. */
    List<String> predecessors(Job job, Predicate<MaintenanceConstraint> enforced) {
        return predecessors(job).stream()
                .filter(m -> enforced.test(MaintenanceConstraint.precedence(m, job.request().machine()))).toList();
    }

    private boolean isOut(String machine) {
        return outages.stream().anyMatch(outage -> outage.machine().equals(machine));
    }

    private long returnTime(RequestStatus status, Machine machine, boolean recovered) {
        long age = Math.max(0, now - status.since());
        long work = status.request().workMillis();
        long afterWork = budgets.slowStartMillis() + budgets.observationMillis();
        return now + switch (status.stage()) {
            case DRAINING -> Math.max(0, budgets.partTimeoutMillis() - age) + work + afterWork;
            case OUT -> Math.max(0, work - age) + afterWork;
            case RETURNING -> afterWork;
            case WARM -> Math.max(0, budgets.observationMillis() - age);
            default -> recovered || (status.returned() && machine.phase() != MachinePhase.AWAY) ? afterWork
                    : NEVER - now;
        };
    }

    /** Returns the fleet without the blocks that always keep a holder: one that is in service and in no job. */
    private FleetSnapshot withConstrainingBlocks(FleetSnapshot original) {
        Set<String> machinesThatMayGo = new HashSet<>(jobByMachine.keySet());
        outages.forEach(outage -> machinesThatMayGo.add(outage.machine()));
        List<BlockHolders> constraining = original.blocks().stream()
                .filter(b -> b.holders().stream().anyMatch(jobByMachine::containsKey)
                        && machinesThatMayGo.containsAll(b.holders()))
                .toList();
        return new FleetSnapshot(original.machines(), constraining, original.reports(), original.expectedGatherers(),
                original.hasQuorum(), original.leader());
    }
}
