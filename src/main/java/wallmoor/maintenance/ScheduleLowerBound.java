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
 * The lower bound of a schedule's end by budgets, blocks and precedences; windows are ignored. Each budget is a
 * parallel machine scheduling problem of its own, and the largest of their bounds is used.
 */
final class ScheduleLowerBound {
    private final SchedulingProblem problem;
    private final Map<String, Machine> machines;
    /** Machines out of service that are not expected to return. */
    private final Set<String> lostMachines = new HashSet<>();
    private final Map<String, Job> jobByMachine = new HashMap<>();

    private ScheduleLowerBound(SchedulingProblem problem) {
        this.problem = problem;
        this.machines = problem.fleet.byId();
        problem.outages.stream().filter(outage -> outage.until() == SchedulingProblem.NEVER)
                .map(ExistingOutage::machine).forEach(lostMachines::add);
        problem.jobs.forEach(job -> jobByMachine.put(job.request().machine(), job));
    }

    /** Returns the lower bound, in milliseconds since 1970. */
    static long of(SchedulingProblem problem) {
        return problem.now + new ScheduleLowerBound(problem).boundMillis();
    }

    private long boundMillis() {
        long bound = longestChainMillis();
        bound = Math.max(bound, slotBoundMillis(problem.jobs, problem.budgets.maxOut() - lostMachines.size()));
        for (Map.Entry<String, Integer> entry : problem.budgets.maxOutByCentre().entrySet()) {
            bound = Math.max(bound, centreBoundMillis(entry.getKey(), entry.getValue()));
        }
        List<Job> nodes = problem.jobs.stream().filter(job -> machine(job).isNode()).toList();
        bound = Math.max(bound, slotBoundMillis(nodes, slotsByCapacity(nodes)));
        for (BlockHolders block : problem.fleet.blocks()) {
            List<Job> holderJobs = block.holders().stream().filter(jobByMachine::containsKey).map(jobByMachine::get)
                    .toList();
            long availableHolders = block.holders().stream()
                    .filter(m -> machines.containsKey(m) && !lostMachines.contains(m)).count();
            bound = Math.max(bound, slotBoundMillis(holderJobs, (int) availableHolders - 1));
        }
        return bound;
    }

    private Machine machine(Job job) {
        return machines.get(job.request().machine());
    }

    private long centreBoundMillis(String centre, int maxOut) {
        long lost = lostMachines.stream().filter(m -> machines.get(m).centre().equals(centre)).count();
        List<Job> jobs = problem.jobs.stream().filter(job -> machine(job).centre().equals(centre)).toList();
        return slotBoundMillis(jobs, (int) (maxOut - lost));
    }

    /**
     * Returns the lower bound of the time for jobs that share a number of slots: the mean load of a slot, or the
     * shortest outage times the number of jobs in the fullest slot. 0 without slots.
     */
    private static long slotBoundMillis(Collection<Job> jobs, int slots) {
        if (jobs.isEmpty() || slots <= 0) {
            return 0;
        }
        long totalMillis = jobs.stream().mapToLong(Job::outageMillis).sum();
        long shortestMillis = jobs.stream().mapToLong(Job::outageMillis).min().getAsLong();
        return Math.max((totalMillis + slots - 1) / slots, shortestMillis * ((jobs.size() + slots - 1) / slots));
    }

    /**
     * Returns how many nodes may be out of service at once by the minimum capacity, counting the smallest nodes first.
     */
    private int slotsByCapacity(List<Job> nodes) {
        long totalCapacity = machines.values().stream().filter(Machine::isNode).mapToLong(Machine::capacity).sum();
        long lost = lostMachines.stream().map(machines::get).filter(Machine::isNode).mapToLong(Machine::capacity)
                .sum();
        long spareCapacity = totalCapacity * (Budgets.MILLION - problem.budgets.minCapacity()) / Budgets.MILLION - lost;
        var capacities = new ArrayList<Long>();
        nodes.forEach(job -> capacities.add(machine(job).capacity()));
        capacities.sort(Comparator.naturalOrder());
        int slots = 0;
        for (long capacity : capacities) {
            spareCapacity -= capacity;
            if (spareCapacity < 0) {
                break;
            }
            slots++;
        }
        return slots;
    }

    private long longestChainMillis() {
        long longest = 0;
        Map<String, Long> knownMillis = new HashMap<>();
        for (Job job : problem.jobs) {
            longest = Math.max(longest, chainMillis(job, knownMillis, new HashSet<>()));
        }
        return longest;
    }

    /** Returns the time of the longest chain of predecessors that ends with a job, in milliseconds. */
    private long chainMillis(Job job, Map<String, Long> knownMillis, Set<String> path) {
        String machine = job.request().machine();
        if (knownMillis.containsKey(machine) || !path.add(machine)) {
            return knownMillis.getOrDefault(machine, 0L);
        }
        long predecessorMillis = 0;
        for (String predecessor : problem.predecessors(job)) {
            for (Job other : problem.jobs) {
                if (other.request().machine().equals(predecessor)) {
                    predecessorMillis = Math.max(predecessorMillis, chainMillis(other, knownMillis, path));
                }
            }
        }
        knownMillis.put(machine, predecessorMillis + job.outageMillis());
        return predecessorMillis + job.outageMillis();
    }
}
