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

/** How soon an order can end at the soonest: by budgets, blocks and pins, without hours. */
final class ScheduleLowerBound {
    private ScheduleLowerBound() {}

    /** In milliseconds since 1970. */
    static long least(SchedulingProblem p) {
        long least = 0;
        Map<String, Long> chain = new HashMap<>();
        for (Job j : p.jobs) {
            least = Math.max(least, chain(p, j, chain, new HashSet<>()));
        }
        Set<String> gone = new HashSet<>();
        p.outages.stream().filter(f -> f.until() == SchedulingProblem.NEVER).map(ExistingOutage::machine)
                .forEach(gone::add);
        Map<String, Machine> machines = p.fleet.byId();
        least = Math.max(least, side(p.jobs, p.budgets.maxOut() - gone.size()));
        for (Map.Entry<String, Integer> c : p.budgets.maxOutByCentre().entrySet()) {
            long out = gone.stream().filter(g -> machines.get(g).centre().equals(c.getKey())).count();
            least = Math.max(least,
                    side(p.jobs.stream().filter(j -> machines.get(j.request().machine()).centre().equals(c.getKey()))
                            .toList(), (int) (c.getValue() - out)));
        }
        List<Job> nodes = p.jobs.stream().filter(j -> machines.get(j.request().machine()).isNode()).toList();
        least = Math.max(least, side(nodes, roomFor(p, nodes, machines, gone)));
        Map<String, Job> jobs = new HashMap<>();
        p.jobs.forEach(j -> jobs.put(j.request().machine(), j));
        for (BlockHolders b : p.fleet.blocks()) {
            List<Job> own = b.holders().stream().filter(jobs::containsKey).map(jobs::get).toList();
            long there = b.holders().stream().filter(m -> machines.containsKey(m) && !gone.contains(m)).count();
            least = Math.max(least, side(own, (int) there - 1));
        }
        return p.now + least;
    }

    /** So many at once: all time over them, or the fullest one's. */
    private static long side(Collection<Job> jobs, int atOnce) {
        if (jobs.isEmpty() || atOnce <= 0) {
            return 0;
        }
        long sum = jobs.stream().mapToLong(Job::outageMillis).sum();
        long least = jobs.stream().mapToLong(Job::outageMillis).min().getAsLong();
        return Math.max((sum + atOnce - 1) / atOnce, least * ((jobs.size() + atOnce - 1) / atOnce));
    }

    /** How many of the smallest may be out at once by the capacity kept. */
    private static int roomFor(SchedulingProblem p, List<Job> nodes, Map<String, Machine> machines, Set<String> gone) {
        long all = machines.values().stream().filter(Machine::isNode).mapToLong(Machine::capacity).sum();
        long lost = gone.stream().map(machines::get).filter(Machine::isNode).mapToLong(Machine::capacity).sum();
        long room = all * (Budgets.MILLION - p.budgets.minCapacity()) / Budgets.MILLION - lost;
        var sizes = new ArrayList<Long>();
        nodes.forEach(j -> sizes.add(machines.get(j.request().machine()).capacity()));
        sizes.sort(Comparator.naturalOrder());
        int n = 0;
        for (long size : sizes) {
            room -= size;
            if (room < 0) {
                break;
            }
            n++;
        }
        return n;
    }

    private static long chain(SchedulingProblem p, Job j, Map<String, Long> known, Set<String> path) {
        String machine = j.request().machine();
        if (known.containsKey(machine) || !path.add(machine)) {
            return known.getOrDefault(machine, 0L);
        }
        long before = 0;
        for (String a : p.predecessors(j)) {
            for (Job k : p.jobs) {
                if (k.request().machine().equals(a)) {
                    before = Math.max(before, chain(p, k, known, path));
                }
            }
        }
        known.put(machine, before + j.outageMillis());
        return before + j.outageMillis();
    }
}
