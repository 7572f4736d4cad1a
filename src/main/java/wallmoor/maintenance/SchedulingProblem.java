package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.Machine.MachinePhase;

/** What is to be scheduled: jobs, and the machines that are out meanwhile, and until when. */
final class SchedulingProblem {
    /** The time of what never happens. */
    static final long NEVER = Long.MAX_VALUE;
    /** Index of a machine that is not in the fleet. */
    static final int UNKNOWN_MACHINE = -1;

    /**
     * A request that has not begun.
     *
     * @param machineIndex in the fleet, or -1
     */
    record Job(MaintenanceRequest request, int machineIndex, long outageMillis) {
        boolean hasDeadline() {
            return request.deadline() != MaintenanceRequest.NO_DEADLINE;
        }
    }

    /**
     * A machine that is out of service for another reason, or in slow start.
     *
     * @param capacityShare that it gives, in millionths
     * @param until         when it is back, or {@link #NEVER}
     */
    record ExistingOutage(String machine, int machineIndex, long capacityShare, long until) {}

    final long now;
    /** With the blocks alone that can constrain a job. */
    final FleetSnapshot fleet;
    final FleetSnapshot completeFleet;
    final Budgets budgets;
    final PrecedenceGraph precedence;
    final List<Job> jobs = new ArrayList<>();
    final List<ExistingOutage> outages = new ArrayList<>();
    private final Map<String, Job> jobByMachine = new HashMap<>();
    private final Set<String> doneMachines = new HashSet<>();

    /**
     * The problem of scheduling those of the requests, in this order, that have not begun.
     *
     * @param recovered whether machines out by themselves, or overdue, are taken to be back
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
                addOwnOutage(machine, indexById.get(machine.id()), recovered);
            }
        }
        this.completeFleet = fleet;
        this.fleet = withConstrainingBlocks(fleet);
    }

    private SchedulingProblem(SchedulingProblem of, List<Job> some) {
        now = of.now;
        budgets = of.budgets;
        precedence = of.precedence;
        outages.addAll(of.outages);
        jobs.addAll(some);
        some.forEach(job -> jobByMachine.put(job.request().machine(), job));
        doneMachines.addAll(of.doneMachines);
        completeFleet = of.completeFleet;
        fleet = withConstrainingBlocks(of.fleet);
    }

    /** The same problem for some of its jobs. Precedences of others mean nothing. */
    SchedulingProblem of(List<Job> some) {
        return new SchedulingProblem(this, some);
    }

    /** A machine in slow start, or out by itself. */
    private void addOwnOutage(Machine machine, int index, boolean recovered) {
        boolean serving = machine.phase() == MachinePhase.SERVING;
        boolean slowStart = serving && machine.isNode() && machine.servingMillis() < budgets.slowStartMillis();
        if (slowStart || (!serving && !recovered)) {
            long until = slowStart ? now + budgets.slowStartMillis() - machine.servingMillis() : NEVER;
            outages.add(new ExistingOutage(machine.id(), index, budgets.capacityShare(machine), until));
        }
    }

    /** Machines that must be done before a job starts. */
    List<String> predecessors(Job job) {
        List<String> failed = precedence.failed(job.request());
        return precedence.predecessors(job.request().machine()).stream()
                .filter(m -> jobByMachine.containsKey(m) || isOut(m) || failed.contains(m))
                .filter(m -> !doneMachines.contains(m) || jobByMachine.containsKey(m)).toList();
    }

    /** Those of the predecessors whose precedence counts. */
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

    /** Without the blocks that always keep a holder: those with one that is in no job and not out. */
    private FleetSnapshot withConstrainingBlocks(FleetSnapshot of) {
        Set<String> mayGo = new HashSet<>(jobByMachine.keySet());
        outages.forEach(outage -> mayGo.add(outage.machine()));
        List<BlockHolders> constraining = of.blocks().stream()
                .filter(b -> b.holders().stream().anyMatch(jobByMachine::containsKey)
                        && mayGo.containsAll(b.holders()))
                .toList();
        return new FleetSnapshot(of.machines(), constraining, of.reports(), of.expectedGatherers(), of.hasQuorum(),
                of.leader());
    }
}
