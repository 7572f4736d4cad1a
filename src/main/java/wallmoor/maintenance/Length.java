package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.Problem.Fixed;
import wallmoor.maintenance.Problem.Job;

/** How soon an order can end at the soonest: by budgets, blocks and pins, without hours. */
final class Length {
    private Length() {}

    /** In milliseconds since 1970. */
    static long least(Problem p) {
        long least = 0;
        Map<String, Long> chain = new HashMap<>();
        for (Job j : p.jobs) {
            least = Math.max(least, chain(p, j, chain, new HashSet<>()));
        }
        Set<String> gone = new HashSet<>();
        p.fixed.stream().filter(f -> f.until() == Problem.NEVER).map(Fixed::machine).forEach(gone::add);
        Map<String, Machine> machines = p.fleet.byId();
        least = Math.max(least, side(p.jobs, p.budgets.atOnce() - gone.size()));
        for (Map.Entry<String, Integer> c : p.budgets.centres().entrySet()) {
            long out = gone.stream().filter(g -> machines.get(g).centre().equals(c.getKey())).count();
            least = Math.max(least,
                    side(p.jobs.stream().filter(j -> machines.get(j.wish().machine()).centre().equals(c.getKey()))
                            .toList(), (int) (c.getValue() - out)));
        }
        List<Job> nodes = p.jobs.stream().filter(j -> machines.get(j.wish().machine()).node()).toList();
        least = Math.max(least, side(nodes, roomFor(p, nodes, machines, gone)));
        Map<String, Job> jobs = new HashMap<>();
        p.jobs.forEach(j -> jobs.put(j.wish().machine(), j));
        for (Block b : p.fleet.blocks()) {
            List<Job> own = b.on().stream().filter(jobs::containsKey).map(jobs::get).toList();
            long there = b.on().stream().filter(m -> machines.containsKey(m) && !gone.contains(m)).count();
            least = Math.max(least, side(own, (int) there - 1));
        }
        return p.now + least;
    }

    /** So many at once: all time over them, or the fullest one's. */
    private static long side(Collection<Job> jobs, int atOnce) {
        if (jobs.isEmpty() || atOnce <= 0) {
            return 0;
        }
        long sum = jobs.stream().mapToLong(Job::whole).sum();
        long least = jobs.stream().mapToLong(Job::whole).min().getAsLong();
        return Math.max((sum + atOnce - 1) / atOnce, least * ((jobs.size() + atOnce - 1) / atOnce));
    }

    /** How many of the smallest may be out at once by the capacity kept. */
    private static int roomFor(Problem p, List<Job> nodes, Map<String, Machine> machines, Set<String> gone) {
        long all = machines.values().stream().filter(Machine::node).mapToLong(Machine::capacity).sum();
        long lost = gone.stream().map(machines::get).filter(Machine::node).mapToLong(Machine::capacity).sum();
        long room = all * (Budgets.MILLION - p.budgets.capacityKept()) / Budgets.MILLION - lost;
        var sizes = new ArrayList<Long>();
        nodes.forEach(j -> sizes.add(machines.get(j.wish().machine()).capacity()));
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

    private static long chain(Problem p, Job j, Map<String, Long> known, Set<String> path) {
        String machine = j.wish().machine();
        if (known.containsKey(machine) || !path.add(machine)) {
            return known.getOrDefault(machine, 0L);
        }
        long before = 0;
        for (String a : p.before(j)) {
            for (Job k : p.jobs) {
                if (k.wish().machine().equals(a)) {
                    before = Math.max(before, chain(p, k, known, path));
                }
            }
        }
        known.put(machine, before + j.whole());
        return before + j.whole();
    }
}
