package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.SchedulingProblem.ExistingOutage;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Lower bound of a schedule's end, by budgets, blocks and precedences; windows are left out. Each budget is a machine
 * scheduling problem of its own, and the largest of their bounds counts.
 */
final class ScheduleLowerBound {
    private final SchedulingProblem problem;
    private final Map<String, Machine> machines;
    /** Machines that are out by themselves and will not return. */
    private final Set<String> lostMachines = new HashSet<>();
    private final Map<String, Job> jobByMachine = new HashMap<>();

    private ScheduleLowerBound(SchedulingProblem problem) {
        this.problem = problem;
        this.machines = problem.fleet.byId();
        problem.outages.stream().filter(outage -> outage.until() == SchedulingProblem.NEVER)
                .map(ExistingOutage::machine).forEach(lostMachines::add);
        problem.jobs.forEach(job -> jobByMachine.put(job.request().machine(), job));
    }

    /** In milliseconds since 1970. */
    static long of(SchedulingProblem problem) {
        return problem.now + new ScheduleLowerBound(problem).lengthMillis();
    }

    private long lengthMillis() {
        long length = longestChain();
        length = Math.max(length, withSlots(problem.jobs, problem.budgets.maxOut() - lostMachines.size()));
        for (Map.Entry<String, Integer> entry : problem.budgets.maxOutByCentre().entrySet()) {
            length = Math.max(length, ofCentre(entry.getKey(), entry.getValue()));
        }
        List<Job> nodes = problem.jobs.stream().filter(job -> machine(job).isNode()).toList();
        length = Math.max(length, withSlots(nodes, slotsByCapacity(nodes)));
        for (BlockHolders block : problem.fleet.blocks()) {
            List<Job> own = block.holders().stream().filter(jobByMachine::containsKey).map(jobByMachine::get).toList();
            long holders = block.holders().stream()
                    .filter(m -> machines.containsKey(m) && !lostMachines.contains(m)).count();
            length = Math.max(length, withSlots(own, (int) holders - 1));
        }
        return length;
    }

    private Machine machine(Job job) {
        return machines.get(job.request().machine());
    }

    private long ofCentre(String centre, int maxOut) {
        long lost = lostMachines.stream().filter(m -> machines.get(m).centre().equals(centre)).count();
        List<Job> jobs = problem.jobs.stream().filter(job -> machine(job).centre().equals(centre)).toList();
        return withSlots(jobs, (int) (maxOut - lost));
    }

    /** The least time for jobs of which so many run at once: their mean load, or the fullest slot's. */
    private static long withSlots(Collection<Job> jobs, int slots) {
        if (jobs.isEmpty() || slots <= 0) {
            return 0;
        }
        long sum = jobs.stream().mapToLong(Job::outageMillis).sum();
        long shortest = jobs.stream().mapToLong(Job::outageMillis).min().getAsLong();
        return Math.max((sum + slots - 1) / slots, shortest * ((jobs.size() + slots - 1) / slots));
    }

    /** How many nodes, the smallest ones, may be out at once by the capacity that must serve. */
    private int slotsByCapacity(List<Job> nodes) {
        long total = machines.values().stream().filter(Machine::isNode).mapToLong(Machine::capacity).sum();
        long lost = lostMachines.stream().map(machines::get).filter(Machine::isNode).mapToLong(Machine::capacity)
                .sum();
        long spare = total * (Budgets.MILLION - problem.budgets.minCapacity()) / Budgets.MILLION - lost;
        var capacities = new ArrayList<Long>();
        nodes.forEach(job -> capacities.add(machine(job).capacity()));
        capacities.sort(Comparator.naturalOrder());
        int slots = 0;
        for (long capacity : capacities) {
            spare -= capacity;
            if (spare < 0) {
                break;
            }
            slots++;
        }
        return slots;
    }

    private long longestChain() {
        long longest = 0;
        Map<String, Long> known = new HashMap<>();
        for (Job job : problem.jobs) {
            longest = Math.max(longest, chainMillis(job, known, new HashSet<>()));
        }
        return longest;
    }

    /** The time of a job and of those that come before it, one after another. */
    private long chainMillis(Job job, Map<String, Long> known, Set<String> path) {
        String machine = job.request().machine();
        if (known.containsKey(machine) || !path.add(machine)) {
            return known.getOrDefault(machine, 0L);
        }
        long before = 0;
        for (String predecessor : problem.predecessors(job)) {
            for (Job other : problem.jobs) {
                if (other.request().machine().equals(predecessor)) {
                    before = Math.max(before, chainMillis(other, known, path));
                }
            }
        }
        known.put(machine, before + job.outageMillis());
        return before + job.outageMillis();
    }
}
