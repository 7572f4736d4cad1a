package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.Machine.MachinePhase;

/** What is to be planned: jobs, and who is out meanwhile until when. */
final class SchedulingProblem {
    /** What never ends. */
    static final long NEVER = Long.MAX_VALUE;

    /** One wish that is not begun. @param place of its machine in the fleet, or -1 */
    record Job(MaintenanceRequest request, int machineIndex, long outageMillis) {}

    /** A machine out of service for another reason. @param until it is back, or {@link #NEVER} */
    record ExistingOutage(String machine, int machineIndex, long capacityShare, long until) {}

    final long now;
    /** With the blocks alone that may stand against a job. */
    final FleetSnapshot fleet;
    final FleetSnapshot whole;
    final Budgets budgets;
    final PrecedenceGraph precedence;
    final List<Job> jobs = new ArrayList<>();
    final List<ExistingOutage> outages = new ArrayList<>();
    private final Map<String, Job> byMachine = new HashMap<>();
    private final Set<String> done = new HashSet<>();

    /**
     * The wishes, in order, that are not begun of these standings, and those that are.
     *
     * @param healed whether what is out by itself, or overdue, is taken for back
     */
    SchedulingProblem(long now, List<RequestStatus> all, FleetSnapshot fleet, Budgets budgets, boolean healed) {
        this.now = now;
        this.budgets = budgets;
        this.precedence = PrecedenceGraph.of(all);
        Map<String, Integer> places = new HashMap<>();
        for (Machine m : fleet.machines()) {
            places.put(m.id(), places.size());
        }
        Set<String> begun = new HashSet<>();
        for (RequestStatus s : all) {
            String id = s.request().machine();
            int place = places.getOrDefault(id, -1);
            if (s.stage().isOut()) {
                begun.add(id);
                if (place >= 0) {
                    outages.add(new ExistingOutage(id, place, 0, until(s, fleet.machines().get(place), healed)));
                }
            } else if (!s.stage().isFinal()) {
                Job job = new Job(s.request(), place, budgets.outageMillis(s.request()));
                jobs.add(job);
                byMachine.put(id, job);
            } else if (s.stage() == MaintenanceStage.DONE) {
                done.add(id);
            }
        }
        for (Machine m : fleet.machines()) {
            boolean cold = m.phase() == MachinePhase.SERVING && m.isNode()
                    && m.servingMillis() < budgets.slowStartMillis();
            if (!begun.contains(m.id()) && (cold || m.phase() != MachinePhase.SERVING && !healed)) {
                outages.add(new ExistingOutage(m.id(), places.get(m.id()), budgets.capacityShare(m),
                        cold ? now + budgets.slowStartMillis() - m.servingMillis() : NEVER));
            }
        }
        this.whole = fleet;
        this.fleet = relevant(fleet);
    }

    private SchedulingProblem(SchedulingProblem of, List<Job> some) {
        now = of.now;
        budgets = of.budgets;
        precedence = of.precedence;
        outages.addAll(of.outages);
        jobs.addAll(some);
        some.forEach(j -> byMachine.put(j.request().machine(), j));
        done.addAll(of.done);
        whole = of.whole;
        fleet = relevant(of.fleet);
    }

    /** The same of some jobs alone. Pins to others stand for nothing. */
    SchedulingProblem of(List<Job> some) {
        return new SchedulingProblem(this, some);
    }

    /** Machines that a job waits for. */
    List<String> predecessors(Job job) {
        return precedence.predecessors(job.request().machine()).stream()
                .filter(a -> byMachine.containsKey(a) || isFixed(a)
                        || precedence.failed(job.request()).contains(a))
                .filter(a -> !done.contains(a) || byMachine.containsKey(a))
                .toList();
    }

    private boolean isFixed(String machine) {
        return outages.stream().anyMatch(f -> f.machine().equals(machine));
    }

    private long until(RequestStatus s, Machine m, boolean healed) {
        long age = Math.max(0, now - s.since());
        long after = budgets.slowStartMillis() + budgets.observationMillis();
        return now + switch (s.stage()) {
            case DRAINING -> Math.max(0, budgets.partTimeoutMillis() - age) + s.request().workMillis() + after;
            case OUT -> Math.max(0, s.request().workMillis() - age) + after;
            case RETURNING -> after;
            case WARM -> Math.max(0, budgets.observationMillis() - age);
            default -> healed || s.returned() && m.phase() != MachinePhase.AWAY ? after : NEVER - now;
        };
    }

    /** Without the blocks that always keep a holder: those with one that is in no job and not out. */
    private FleetSnapshot relevant(FleetSnapshot of) {
        Set<String> maybe = new HashSet<>(byMachine.keySet());
        outages.forEach(f -> maybe.add(f.machine()));
        List<BlockHolders> bound = of.blocks().stream()
                .filter(b -> b.holders().stream().anyMatch(byMachine::containsKey)
                        && maybe.containsAll(b.holders()))
                .toList();
        return new FleetSnapshot(of.machines(), bound, of.reports(), of.expectedGatherers(), of.hasQuorum(),
                of.leader());
    }
}
