package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.Machine.Phase;

/** What is to be planned: jobs, and who is out meanwhile until when. */
final class Problem {
    /** What never ends. */
    static final long NEVER = Long.MAX_VALUE;

    /** One wish that is not begun. @param place of its machine in the fleet, or -1 */
    record Job(Wish wish, int place, long whole) {}

    /** A machine out of service for another reason. @param until it is back, or {@link #NEVER} */
    record Fixed(String machine, int place, long warmth, long until) {}

    final long now;
    /** With the blocks alone that may stand against a job. */
    final Fleet fleet;
    final Fleet whole;
    final Budgets budgets;
    final Pins pins;
    final List<Job> jobs = new ArrayList<>();
    final List<Fixed> fixed = new ArrayList<>();
    private final Map<String, Job> byMachine = new HashMap<>();
    private final Set<String> done = new HashSet<>();

    /**
     * The wishes, in order, that are not begun of these standings, and those that are.
     *
     * @param healed whether what is out by itself, or overdue, is taken for back
     */
    Problem(long now, List<Standing> all, Fleet fleet, Budgets budgets, boolean healed) {
        this.now = now;
        this.budgets = budgets;
        this.pins = Pins.of(all);
        Map<String, Integer> places = new HashMap<>();
        for (Machine m : fleet.machines()) {
            places.put(m.id(), places.size());
        }
        Set<String> begun = new HashSet<>();
        for (Standing s : all) {
            String id = s.wish().machine();
            int place = places.getOrDefault(id, -1);
            if (s.step().away()) {
                begun.add(id);
                if (place >= 0) {
                    fixed.add(new Fixed(id, place, 0, until(s, fleet.machines().get(place), healed)));
                }
            } else if (!s.step().over()) {
                Job job = new Job(s.wish(), place, budgets.whole(s.wish()));
                jobs.add(job);
                byMachine.put(id, job);
            } else if (s.step() == Step.DONE) {
                done.add(id);
            }
        }
        for (Machine m : fleet.machines()) {
            boolean cold = m.phase() == Phase.SERVING && m.node() && m.servedFor() < budgets.cold();
            if (!begun.contains(m.id()) && (cold || m.phase() != Phase.SERVING && !healed)) {
                fixed.add(new Fixed(m.id(), places.get(m.id()), budgets.warmth(m),
                        cold ? now + budgets.cold() - m.servedFor() : NEVER));
            }
        }
        this.whole = fleet;
        this.fleet = relevant(fleet);
    }

    private Problem(Problem of, List<Job> some) {
        now = of.now;
        budgets = of.budgets;
        pins = of.pins;
        fixed.addAll(of.fixed);
        jobs.addAll(some);
        some.forEach(j -> byMachine.put(j.wish().machine(), j));
        done.addAll(of.done);
        whole = of.whole;
        fleet = relevant(of.fleet);
    }

    /** The same of some jobs alone. Pins to others stand for nothing. */
    Problem of(List<Job> some) {
        return new Problem(this, some);
    }

    /** Machines that a job waits for. */
    List<String> before(Job job) {
        return pins.before(job.wish().machine()).stream().filter(a -> byMachine.containsKey(a) || isFixed(a)
                || pins.dead(job.wish()).contains(a)).filter(a -> !done.contains(a) || byMachine.containsKey(a))
                .toList();
    }

    private boolean isFixed(String machine) {
        return fixed.stream().anyMatch(f -> f.machine().equals(machine));
    }

    private long until(Standing s, Machine m, boolean healed) {
        long age = Math.max(0, now - s.since());
        long after = budgets.cold() + budgets.warmUp();
        return now + switch (s.step()) {
            case DRAINING -> Math.max(0, budgets.parts() - age) + s.wish().lasts() + after;
            case OUT -> Math.max(0, s.wish().lasts() - age) + after;
            case RETURNING -> after;
            case WARM -> Math.max(0, budgets.warmUp() - age);
            default -> healed || s.back() && m.phase() != Phase.AWAY ? after : NEVER - now;
        };
    }

    /** Without the blocks that always keep a holder: those with one that is in no job and not out. */
    private Fleet relevant(Fleet of) {
        Set<String> maybe = new HashSet<>(byMachine.keySet());
        fixed.forEach(f -> maybe.add(f.machine()));
        List<Block> bound = of.blocks().stream().filter(b -> b.on().stream().anyMatch(byMachine::containsKey)
                && maybe.containsAll(b.on())).toList();
        return new Fleet(of.machines(), bound, of.words(), of.gatherers(), of.quorum(), of.leader());
    }
}
